// Package watch keeps the configuration and the list of upstreams up to date from the platform's store and the leader.
package watch

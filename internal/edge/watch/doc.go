// Package watch follows the configuration and the list of upstreams in the platform's store.
package watch

// Package hosts holds the upstreams of the platform's list.
package hosts

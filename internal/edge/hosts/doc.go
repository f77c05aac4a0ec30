// Package hosts holds the upstreams that are known, as the platform's list shows them.
package hosts

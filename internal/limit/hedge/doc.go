// Package hedge bounds second calls that are sent while the first is slow, by the time that upstreams spend on them.
package hedge

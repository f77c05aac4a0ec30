// Package affinity tracks which upstreams hold a prompt prefix, from cache events that may be late or lost.
package affinity

// Package affinity remembers which upstreams hold a prompt prefix, from cache events that come late and with gaps.
package affinity

// Package notices records what upstreams announce in their answers: that they shut down, or want a pause.
package notices

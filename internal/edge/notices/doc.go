// Package notices keeps what upstreams announce in their answers: that they are leaving, or want no requests for a while.
package notices

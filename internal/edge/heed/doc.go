// Package heed keeps what upstreams say of themselves in their answers: that they leave, or want no requests for a while.
package heed

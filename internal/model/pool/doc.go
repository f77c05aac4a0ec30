// Package pool declares a pool of upstreams and the contract they keep.
package pool

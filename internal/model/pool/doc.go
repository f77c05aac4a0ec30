// Package pool defines the declaration of a pool of upstreams and of the features they support.
package pool

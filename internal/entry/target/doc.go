// Package target is the contract between the executor of a request and what
// picks the upstream of each attempt.
package target

// Package exec runs the stages of a request. It makes attempts, retries and hedges them, resumes interrupted streams,
// and determines the verdict of a request that fails.
package exec

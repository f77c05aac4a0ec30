// Package exec runs the stages of one request: attempts, retries, hedges,
// resumed streams, and the verdict when it fails.
package exec

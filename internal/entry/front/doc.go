// Package front is the HTTP interface for callers. It validates, admits and runs a request, and sends a complete
// answer, a stream or an error with a verdict.
package front

// Package judge turns a failed upstream call into an error with the right verdict.
package judge

// Package classify turns the error of a failed upstream call into a fault with the right verdict.
package classify

// Package classify maps the error of a failed upstream call to a fault with a verdict.
package classify

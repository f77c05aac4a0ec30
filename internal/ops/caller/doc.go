// Package caller calls pipelines as a client of the HTTP interface of an entry, and verifies that each answer is
// complete.
package caller

// Package tally counts from outside what became of requests: it compares the callers' answers
// with the books of the stand-ins.
package tally

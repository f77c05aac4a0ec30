// Package tally classifies the outcomes of requests and finds violated guarantees: it compares the callers' answers
// with what the fake upstreams recorded.
package tally

// Package relay reads an upstream's answer: it reorders events, drops those of other calls and checks that the answer
// is complete.
package relay

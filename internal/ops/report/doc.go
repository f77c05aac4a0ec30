// Package report builds the page that the outgoing operators hand to the incoming ones.
package report

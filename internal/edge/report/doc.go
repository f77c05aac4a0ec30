// Package report tells the reports of upstreams that the store executes late from current ones.
package report

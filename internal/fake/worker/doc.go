// Package worker is an in-memory upstream that records the calls it ran.
package worker

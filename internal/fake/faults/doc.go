// Package faults holds the faults that a stand-in plays.
package faults

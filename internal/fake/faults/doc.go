// Package faults describes and holds the faults to inject into a stand-in.
package faults

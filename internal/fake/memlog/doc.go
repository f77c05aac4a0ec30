// Package memlog is an in-memory log service with settable faults, for tests and the demo.
package memlog

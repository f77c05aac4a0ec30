// Package shed refuses requests of callers early while the own process is short of processor time, memory or descriptors.
//
// It answers the load condition that callers send a small host more than it can handle: without it their requests are
// accepted and then answered late, or not at all.
package shed

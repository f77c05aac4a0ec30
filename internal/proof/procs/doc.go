// Package procs tests the guarantees with real processes on loopback. They are killed, frozen, stopped and replaced
// under load; the fake upstreams record what they run.
package procs

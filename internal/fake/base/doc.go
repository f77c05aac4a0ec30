// Package base implements what all stand-ins for upstreams share: a process that can crash, injected faults,
// concurrency slots and a record of calls.
package base

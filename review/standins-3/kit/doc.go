// Package kit is a small deployment for the review cases: a store, runners and clients in the calling process, and the
// project's program as separate processes, started with the command of the deploy file. All addresses are loopback addresses.
package kit

// Package reset provides TCP connections that tell a reset from the orderly end of what the peer sends.
//
// The kernel reports a reset once, to a read or to a write. If a concurrent write receives the error, the next read
// returns io.EOF, as if the peer had ended its side.
package reset

// Package cable stands between two ends of TCP connections on loopback, and misbehaves as networks do.
package cable

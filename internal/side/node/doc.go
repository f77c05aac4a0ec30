// Package node puts a side together: its server, its gate and its gRPC listener.
package node

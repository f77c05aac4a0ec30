package ports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	firstPort = 10000
	// firstNet is the second byte of the addresses; 127.0.0.1 itself is left to others.
	firstNet = 64
)

var taken atomic.Int64

// Next returns an address that no other process uses and that is handed out once: each process has a loopback
// IP of its own, and outgoing connections start from 127.0.0.1.
func Next() string { return Range(1) }

// Range returns the first of n addresses with consecutive ports.
func Range(n int) string {
	pid := os.Getpid()
	port := firstPort + taken.Add(int64(n)) - int64(n) + 1
	return fmt.Sprintf("127.%d.%d.%d:%d", firstNet+pid>>16&63, pid>>8&255, pid&255, port)
}

// Listen listens on the next address.
func Listen() (net.Listener, error) { return net.Listen("tcp", Next()) }

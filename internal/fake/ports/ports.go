package ports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	basePort = 10000 // ports start after it
	// baseSecondByte is the lowest second byte of the addresses, which keeps them apart from 127.0.0.1.
	baseSecondByte = 64
)

var portsTaken atomic.Int64

// Next returns an IP:port that no other process uses and that is returned only once: each process has a loopback IP of
// its own, and outgoing connections start from 127.0.0.1.
func Next() string { return Range(1) }

// Range returns the first of n such addresses with consecutive ports.
func Range(n int) string {
	pid := os.Getpid()
	port := basePort + portsTaken.Add(int64(n)) - int64(n) + 1
	return fmt.Sprintf("127.%d.%d.%d:%d", baseSecondByte+pid>>16&63, pid>>8&255, pid&255, port)
}

// Listen listens on an address from Next.
func Listen() (net.Listener, error) { return net.Listen("tcp", Next()) }

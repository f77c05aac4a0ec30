package ports

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports handed out lie below the range that the kernel gives to outgoing connections.
const (
	first = 12000
	last  = 32000
	// stride spreads the processes of one machine over the range.
	stride = 97
)

var next atomic.Int64

// Next returns a loopback address whose port was free a moment ago and is not handed out twice by this process.
func Next() (string, error) {
	start := int64(os.Getpid()) * stride
	for range last - first {
		port := first + (start+next.Add(1))%(last-first)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return "", err
		}
		return address, nil
	}
	return "", fmt.Errorf("no free port from %d to %d", first, last)
}

package sock

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	probeAfter    = 1 * time.Second // keepalive probes of a connection that is silent
	probeInterval = 1 * time.Second
	probeCount    = 2
)

// Dialer connects within a time, and soon breaks connections whose other end is gone: by keepalive probes, and when sent
// bytes have no acknowledgement for as long as unacked.
func Dialer(timeout, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probeCount},
		Control:         UserTimeout(unacked),
	}
}

// Control is the hook of net.Dialer and net.ListenConfig.
type Control func(network, address string, raw syscall.RawConn) error

// UserTimeout breaks a connection whose sent bytes have no acknowledgement for that long (TCP_USER_TIMEOUT).
func UserTimeout(d time.Duration) Control {
	return func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(err, set)
	}
}

package sock

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	probeAfter    = 1 * time.Second // idle time before the first keepalive probe
	probeInterval = 1 * time.Second
	probeCount    = 2 // unanswered probes that close a connection
)

// Dialer returns a dialer with a connect timeout. Its connections fail soon after the peer is gone: by keepalive
// probes, and when sent bytes are not acknowledged for unacked.
func Dialer(timeout, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeInterval, Count: probeCount},
		Control:         UserTimeout(unacked),
	}
}

// Control is the type of the Control hook of net.Dialer and net.ListenConfig.
type Control func(network, address string, raw syscall.RawConn) error

// UserTimeout returns a hook that makes a connection fail when sent bytes are not acknowledged for d
// (TCP_USER_TIMEOUT).
func UserTimeout(d time.Duration) Control {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	}
}

// ReceiveBuffer returns a hook that sets the receive buffer of a listener's connections, in bytes (SO_RCVBUF), after the
// hook next.
func ReceiveBuffer(size int, next Control) Control {
	return func(network, address string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size) })
		return errors.Join(err, optionErr, next(network, address, raw))
	}
}

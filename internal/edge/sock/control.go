package sock

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

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

package reset

import (
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection on which io.EOF means that the peer has ended its side and not reset the connection.
type Conn struct {
	net.Conn
	socket syscall.Conn
}

// New returns a Conn over a TCP connection.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn, socket: conn.(syscall.Conn)} }

// SyscallConn returns access to the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) { return c.socket.SyscallConn() }

// Read reads from the connection; it fails with ECONNRESET after a reset, also if a write has received that error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if _, infoErr := c.info(); infoErr != nil {
			err = infoErr
		}
	}
	return n, err
}

// HasUnacked reports whether the peer has yet to acknowledge written bytes; it fails with ECONNRESET after a reset.
func (c *Conn) HasUnacked() (bool, error) {
	info, err := c.info()
	if err != nil {
		return false, err
	}
	return info.Unacked > 0 || info.Notsent_bytes > 0, nil
}

// info returns the kernel's state of the connection; it fails with ECONNRESET after a reset.
func (c *Conn) info() (*unix.TCPInfo, error) {
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		info, optionErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return nil, err
	case optionErr != nil:
		return nil, os.NewSyscallError("getsockopt", optionErr)
	case info.State == unix.BPF_TCP_CLOSE: // this side has not closed it
		return nil, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("read", unix.ECONNRESET)}
	}
	return info, nil
}

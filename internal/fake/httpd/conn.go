package httpd

import (
	"net"
	"sync"
)

// listener accepts connections that can go silent.
type listener struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: c, server: l.server, silent: make(chan struct{}), closed: make(chan struct{})}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.conns[accepted] = struct{}{}
	return accepted, nil
}

// conn is a connection that, once silent, discards the bytes of both directions.
type conn struct {
	net.Conn
	server     *Server
	silentOnce sync.Once
	closeOnce  sync.Once
	silent     chan struct{}
	closed     chan struct{}
}

// Read blocks until Close on a silent connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write discards the bytes on a silent connection and reports them as written.
func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	})
	return c.Conn.Close()
}

// silence makes the connection silent for good.
func (c *conn) silence() { c.silentOnce.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

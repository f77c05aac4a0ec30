package intake

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
)

// phase is what a connection does.
type phase string

// The phases of a connection.
const (
	idle phase = "idle" // no byte of a request
	head phase = "head" // part of a head
	busy phase = "busy" // a request is being served
)

const (
	writePart     = 64 << 10               // bytes that are written under one deadline
	refusalWrite  = 100 * time.Millisecond // for writing a refusal
	refusedLinger = 300 * time.Millisecond // for the rest of a body whose request was refused
)

// longAgo is a deadline that ends reads at once.
var longAgo = time.Unix(1, 0)

// conn is a connection of a client. Its reader is net/http, in one goroutine at a time.
type conn struct {
	net.Conn
	in      *Intake
	scan    scanner
	refused bool      // nothing more is read
	short   bool      // refused for HeadMemory
	writeBy time.Time // write deadline
	// bodyRead says that the handler has read the body of the present request.
	bodyRead bool

	mu      sync.Mutex
	phase   phase
	since   time.Time // of the phase
	body    *reading  // the body that is being read, or nil
	current int64     // bytes of memory.Heads for the message being scanned
	whole   []int64   // the same of the messages that are whole, until their requests end
	used    bool      // it has served a request
	closed  bool
}

// Read reads bytes and checks the heads in them.
func (c *conn) Read(p []byte) (int, error) {
	for !c.refused {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		kept, reason := c.check(p[:n])
		if reason != "" {
			c.refused, c.short = true, reason == HeadMemory
			c.in.refuse(reason)
			if kept == 0 {
				c.writeRefusal(reason)
				return 0, io.EOF
			}
			return kept, nil
		}
		if kept > 0 || err != nil {
			return kept, err
		}
	}
	return 0, io.EOF
}

// check scans bytes that were read, removes empty lines between requests, and returns how many remain. With a reason, only
// those before the head that is refused remain.
func (c *conn) check(p []byte) (int, Reason) {
	if (c.scan.state == inBody || c.scan.state == inChunk) && int64(len(p)) < c.scan.left {
		c.scan.left -= int64(len(p))
		return len(p), ""
	}
	limits := c.in.limits()
	size, from, begun := len(p), 0, 0
	for from < size {
		if c.scan.state == atStart {
			begun = from
			if skip := leadingEmpty(p[from:size]); skip > 0 {
				c.scan.empty += skip
				copy(p[from:], p[from+skip:size])
				size -= skip
				if c.scan.empty > limits.HeadBytes {
					return begun, EmptyLines
				}
				continue
			}
		}
		n, ends := c.scan.next(p[from:size])
		from += n
		if reason := c.charge(limits, ends); reason != "" {
			return begun, reason
		}
	}
	c.enterHead(limits)
	return size, ""
}

// leadingEmpty returns the number of CR and LF at the beginning.
func leadingEmpty(p []byte) int {
	n := 0
	for n < len(p) && (p[n] == '\r' || p[n] == '\n') {
		n++
	}
	return n
}

// charge checks the size of a head with its trailers, and takes memory for them. ends says that the message is whole.
func (c *conn) charge(limits Limits, ends bool) Reason {
	if c.scan.invalid || c.scan.bytes > limits.HeadBytes+lineSlack {
		return HeadTooLarge
	}
	need := max(0, int64(c.scan.bytes)+lineBytes*int64(c.scan.lines)-ordinaryBytes)
	if need <= c.current && !ends {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if more := need - c.current; more > 0 {
		if !c.acquireHead(more) {
			return HeadMemory
		}
		c.current = need
	}
	if ends {
		c.whole = append(c.whole, c.current)
		c.current = 0
	}
	return ""
}

// acquireHead takes memory for a head, from connections without progress if there is none. The caller holds c.mu.
func (c *conn) acquireHead(bytes int64) bool {
	if c.closed {
		return false
	}
	if c.in.o.Budget.TryAcquire(memory.Heads, "", bytes) {
		return true
	}
	c.mu.Unlock()
	c.in.reclaimHeads(c, bytes)
	c.mu.Lock()
	return !c.closed && c.in.o.Budget.TryAcquire(memory.Heads, "", bytes)
}

// enterHead starts the timeout of a head when its first bytes have come and more must follow.
func (c *conn) enterHead(limits Limits) {
	if c.scan.state != inHead {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != idle {
		return
	}
	c.phase, c.since = head, c.in.o.Now()
	_ = c.Conn.SetReadDeadline(c.since.Add(limits.HeadTimeout))
}

// writeRefusal answers a head that is refused, unless the answer to another request is under way.
func (c *conn) writeRefusal(reason Reason) {
	c.mu.Lock()
	answers := c.phase != busy
	c.mu.Unlock()
	if !answers || reason == EmptyLines {
		return
	}
	status := "431 Request Header Fields Too Large\r\n"
	if reason == HeadMemory {
		status = "503 Service Unavailable\r\nRetry-After: 1\r\n"
	}
	_ = c.Conn.SetWriteDeadline(c.in.o.Now().Add(refusalWrite))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+status+"Connection: close\r\nContent-Length: 0\r\n\r\n")
	_ = c.CloseWrite()
}

// observe follows the state of the connection in net/http.
func (c *conn) observe(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.mu.Lock()
		c.phase = busy
		c.mu.Unlock()
	case http.StateIdle:
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			return
		}
		c.phase, c.since, c.used = idle, c.in.o.Now(), true
		if c.scan.state == inHead {
			c.phase = head
		}
		if len(c.whole) > 0 {
			c.in.o.Budget.Release(memory.Heads, "", c.whole[0])
			c.whole = append(c.whole[:0], c.whole[1:]...)
		}
	}
}

// SetReadDeadline sets the deadline of reads. For one that net/http sets between requests, that of the limits counts.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != busy && t.After(c.in.o.Now()) {
		t = c.deadline(c.in.limits())
	}
	return c.Conn.SetReadDeadline(t)
}

// deadline returns the end of the present phase. The caller holds c.mu.
func (c *conn) deadline(limits Limits) time.Time {
	if c.phase == head {
		return c.since.Add(limits.HeadTimeout)
	}
	return c.since.Add(limits.IdleTimeout)
}

// rearm applies new limits to a connection that waits for bytes.
func (c *conn) rearm(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != busy && !c.closed {
		_ = c.Conn.SetReadDeadline(c.deadline(limits))
	}
}

// SetWriteDeadline sets the deadline of writes, until the next Write. The one that Write has set stays when net/http removes
// it after an answer, as setting it costs about as much as reading a head.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	c.writeBy = t
	return c.Conn.SetWriteDeadline(t)
}

// Write writes an answer. A client that does not read it is given up after the write timeout.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	timeout := c.in.limits().WriteTimeout
	for {
		now := c.in.o.Now()
		if c.writeBy.Sub(now) < timeout {
			c.writeBy = now.Add(timeout + timeout/4) // so that most writes set no deadline
			if err := c.Conn.SetWriteDeadline(c.writeBy); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+writePart)])
		written += n
		if err != nil || written >= len(p) {
			return written, err
		}
	}
}

// CloseWrite ends the writing side, as net/http does before it closes a connection that may have unread bytes.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and releases its memory.
func (c *conn) Close() error {
	c.mu.Lock()
	c.release()
	c.mu.Unlock()
	c.in.remove(c)
	return c.Conn.Close()
}

// closeIn closes the connection if it is in a phase, and reports whether it was.
func (c *conn) closeIn(p phase) bool {
	c.mu.Lock()
	ok := c.phase == p && !c.closed
	if ok {
		c.release()
		_ = c.Conn.Close()
	}
	c.mu.Unlock()
	if ok {
		c.in.remove(c)
	}
	return ok
}

// release gives the memory of the connection back once. The caller holds c.mu.
func (c *conn) release() {
	if c.closed {
		return
	}
	c.closed = true
	held := c.current
	for _, bytes := range c.whole {
		held += bytes
	}
	c.in.o.Budget.Release(memory.Heads, "", held)
	c.in.o.Budget.Release(memory.Connections, "", connectionBytes)
}

package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const (
	// slowGrace is how long a body may pause before it counts as slow, which matters only while others need the memory.
	slowGrace = 400 * time.Millisecond
	// slowRate is the least rate of a body in bytes per second, over slowGrace.
	slowRate = 64 << 10
	// longReading is how long a body may take, however it comes, while others need the memory or the connection. It comes
	// after the slow ones; 4 MB take 0.3 s at 100 Mbit/s.
	longReading = 2 * time.Second
	// retryAfter is told to callers whose body found no memory: about the time until those that stopped are given up.
	retryAfter = 500 * time.Millisecond
	firstBytes = bodyFreeBytes // capacity for a body of unknown length, doubled as it grows
)

// reading is the state of a body that is being read; conn.mu guards it.
type reading struct {
	kind    memory.Kind
	owner   string
	bytes   int64 // held of that kind
	begun   time.Time
	due     time.Time // when the next bytes are due
	armed   bool      // reads have a deadline
	evicted bool
}

// overdue returns since when the body is to give way to others, and whether that time has come. Slow bodies have been due
// for longer than those that only take long.
func (r *reading) overdue(now time.Time) (time.Time, bool) {
	switch {
	case r.evicted:
		return time.Time{}, false
	case now.After(r.due):
		return r.due.Add(-time.Minute), true
	}
	return r.begun, now.Sub(r.begun) > longReading
}

// Body is the body of a request with the memory that it holds.
type Body struct {
	bytes  []byte
	budget *memory.Budget
	owner  string
	kind   memory.Kind
	held   int64
}

// Bytes returns the body; nil after Release.
func (b *Body) Bytes() []byte {
	if b == nil {
		return nil
	}
	return b.bytes
}

// Release gives the memory back; the bytes must not be used any more. It may be called again.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.budget.Release(b.kind, b.owner, b.held)
	b.held, b.bytes = 0, nil
}

// grow makes the body hold memory for so many bytes in all. It waits for it until ctx ends.
func (b *Body) grow(ctx context.Context, c *conn, in *Intake, size int64) bool {
	if size <= bodyFreeBytes || b.budget == nil {
		return true
	}
	kind := memory.SmallBodies
	if size > memory.SmallBodyBytes {
		kind = memory.Bodies
	}
	if !b.budget.TryAcquire(kind, b.owner, size) {
		owner := "" // anyone
		if b.budget.ExceedsShare(kind, b.owner, size) {
			owner = b.owner // the bodies of others would not help
		}
		in.reclaimBodies(c, kind, owner, size)
		if !b.budget.Acquire(ctx, kind, b.owner, size) {
			return false
		}
	}
	b.budget.Release(b.kind, b.owner, b.held)
	b.kind, b.held = kind, size
	return true
}

// BodyOptions say how a body is read.
type BodyOptions struct {
	Limit  int64     // bytes; 0 for that of the limits
	Owner  string    // whose share of the memory the body counts against; empty for nobody's
	Until  time.Time // by which the body must be whole; zero for no such time
	Factor int64     // memory that each byte of the body takes while the request runs; 0 means 1
}

// ReadBody reads the body of a request. It takes memory for it first, at once for a body of known length. The failure says
// that the request was not run; the connection is closed then.
func (in *Intake) ReadBody(w http.ResponseWriter, r *http.Request, o BodyOptions) (*Body, *fault.Error) {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return &Body{}, nil
	}
	if o.Limit <= 0 {
		o.Limit = in.limits().BodyBytes
	}
	o.Factor = max(1, o.Factor)
	c, _ := r.Context().Value(connKey{}).(*conn) // nil in tests without a connection
	b := &Body{budget: in.o.Budget, owner: o.Owner}
	failure := in.readInto(b, c, r, o)
	if failure == nil {
		if c != nil {
			c.bodyRead = true
		}
		return b, nil
	}
	b.Release()
	w.Header().Set("Connection", "close")
	return nil, failure
}

// readInto reads the whole body into b.
func (in *Intake) readInto(b *Body, c *conn, r *http.Request, o BodyOptions) *fault.Error {
	if r.ContentLength > o.Limit {
		return tooLarge(o.Limit)
	}
	size := r.ContentLength
	if size < 0 {
		size = min(firstBytes, o.Limit+1)
	}
	if failure := in.reserve(b, c, r, o, size); failure != nil {
		return failure
	}
	if c != nil {
		c.beginBody(b)
		defer c.endBody()
	}
	buffer := make([]byte, 0, size)
	for {
		if len(buffer) == cap(buffer) {
			if r.ContentLength >= 0 {
				break
			}
			larger := min(2*int64(cap(buffer)), o.Limit+1)
			if failure := in.reserve(b, c, r, o, larger); failure != nil {
				return failure
			}
			if c != nil {
				c.beginBody(b)
			}
			buffer = append(make([]byte, 0, larger), buffer...)
		}
		if c != nil {
			c.armBody(in.limits().BodyTimeout, o.Until)
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > o.Limit {
			return tooLarge(o.Limit)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return in.bodyFailure(c, err)
		}
		if c != nil {
			c.progress(n)
		}
	}
	b.bytes = buffer
	return nil
}

// reserve takes memory for a body that grows to a size, and waits for it no longer than the limits say.
func (in *Intake) reserve(b *Body, c *conn, r *http.Request, o BodyOptions, size int64) *fault.Error {
	if in.o.Budget == nil || size <= bodyFreeBytes {
		return nil
	}
	ctx, cancel := context.WithTimeout(r.Context(), in.limits().Wait)
	defer cancel()
	if b.grow(ctx, c, in, size*o.Factor) {
		return nil
	}
	in.refuse(BodyMemory)
	return noMemory()
}

// bodyFailure converts the error of a read.
func (in *Intake) bodyFailure(c *conn, err error) *fault.Error {
	switch {
	case c != nil && c.wasEvicted():
		in.refuse(BodyEvicted)
		return noMemory().WithCause(err)
	case c != nil && c.short: // for trailers; Read has counted the refusal
		return noMemory().WithCause(err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		in.refuse(BodySlow)
		return fault.New(fault.NotRun, fault.SlowBody, "the body made no progress").WithCause(err)
	}
	return fault.New(fault.NotRun, fault.BadRequest, "the body can't be read").WithCause(err)
}

func tooLarge(limit int64) *fault.Error {
	return fault.New(fault.NotRun, fault.TooLarge, "the body is larger than %d bytes", limit)
}

func noMemory() *fault.Error {
	return fault.New(fault.NotRun, fault.Overloaded, "no memory for the body").WithRetryAfter(retryAfter)
}

// beginBody makes the body one that may be evicted, or records that it has grown.
func (c *conn) beginBody(b *Body) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body == nil {
		now := c.in.o.Now()
		c.body = &reading{begun: now, due: now.Add(slowGrace)}
	}
	c.body.kind, c.body.owner, c.body.bytes = b.kind, b.owner, b.held
}

// endBody ends that, and removes the deadline of the reads.
func (c *conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body.armed || c.body.evicted {
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	c.body = nil
}

// armBody sets the deadline of the next read, unless all bytes of the body have come.
func (c *conn) armBody(timeout time.Duration, until time.Time) {
	if c.scan.state == atStart {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	end := c.in.o.Now().Add(timeout)
	if !until.IsZero() && until.Before(end) {
		end = until
	}
	if c.body.evicted {
		end = longAgo
	}
	c.body.armed = true
	_ = c.Conn.SetReadDeadline(end)
}

// progress records bytes of the body.
func (c *conn) progress(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.in.o.Now()
	due := c.body.due.Add(time.Duration(n) * time.Second / slowRate)
	if most := now.Add(slowGrace); due.After(most) {
		due = most
	}
	c.body.due = due
}

func (c *conn) wasEvicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.body != nil && c.body.evicted
}

// linger bounds the time in which net/http reads the rest of a body that was refused, so that the client gets the answer.
func (c *conn) linger() {
	_ = c.Conn.SetReadDeadline(c.in.o.Now().Add(refusedLinger))
}

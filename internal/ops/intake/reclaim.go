package intake

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
)

// headGrace is how long a head may take while others need its connection; an ordinary one comes whole in one read.
const headGrace = 500 * time.Millisecond

// victim is a connection that may be closed, or whose body may be given up, for others.
type victim struct {
	c     *conn
	since time.Time // of the last progress
	bytes int64     // that it gives back
}

// victims returns the connections that pick chooses, the one without progress for longest first. pick is called with the
// connection's mu held.
func (in *Intake) victims(except *conn, pick func(c *conn) (since time.Time, bytes int64, ok bool)) []victim {
	var out []victim
	for _, c := range in.all() {
		if c == except {
			continue
		}
		c.mu.Lock()
		since, bytes, ok := pick(c)
		ok = ok && !c.closed
		c.mu.Unlock()
		if ok {
			out = append(out, victim{c, since, bytes})
		}
	}
	slices.SortFunc(out, func(a, b victim) int { return a.since.Compare(b.since) })
	return out
}

// reclaimBodies gives up overdue bodies of a kind, only those of an owner if that is not empty, until so many bytes are to be released.
func (in *Intake) reclaimBodies(except *conn, kind memory.Kind, owner string, bytes int64) {
	now := in.o.Now()
	for _, v := range in.victims(except, func(c *conn) (time.Time, int64, bool) {
		if c.body == nil || c.body.kind != kind || c.body.bytes == 0 || (owner != "" && c.body.owner != owner) {
			return time.Time{}, 0, false
		}
		since, ok := c.body.overdue(now)
		return since, c.body.bytes, ok
	}) {
		if bytes <= 0 {
			return
		}
		v.c.evictBody()
		bytes -= v.bytes
	}
}

// reclaimHeads closes connections that hold memory for heads and make no progress, until so many bytes are released.
func (in *Intake) reclaimHeads(except *conn, bytes int64) {
	now := in.o.Now()
	for _, v := range in.victims(except, func(c *conn) (time.Time, int64, bool) {
		held := c.current
		for _, n := range c.whole {
			held += n
		}
		switch {
		case held == 0:
			return time.Time{}, 0, false
		case c.body != nil:
			since, ok := c.body.overdue(now)
			return since, held, ok
		}
		return c.since, held, c.phase == head && now.Sub(c.since) > headGrace
	}) {
		if bytes <= 0 {
			return
		}
		if !v.c.evictBody() && v.c.closeIn(head) {
			in.refuse(HeadEvicted)
		}
		bytes -= v.bytes
	}
}

// reclaimConnection makes room for a new connection: it closes one that brought no request yet, or else the one that was
// idle for longest, or else one in a head that does not end, or gives up an overdue body, whose connection is closed soon.
func (in *Intake) reclaimConnection() {
	now := in.o.Now()
	unfinished := in.victims(nil, func(c *conn) (time.Time, int64, bool) {
		switch {
		case c.phase == idle && !c.used && now.Sub(c.since) > headGrace:
			return c.since.Add(-2 * time.Hour), 0, true // first
		case c.phase == idle:
			return c.since.Add(-time.Hour), 0, true // next
		case c.body != nil:
			since, ok := c.body.overdue(now)
			return since, 0, ok
		}
		return c.since, 0, c.phase == head && now.Sub(c.since) > headGrace
	})
	for _, v := range unfinished {
		switch {
		case v.c.closeIn(idle):
			in.refuse(IdleEvicted)
			return
		case v.c.closeIn(head):
			in.refuse(HeadEvicted)
			return
		case v.c.evictBody():
			return
		}
	}
}

// evictBody makes the reads of a body fail, and reports whether there is one.
func (c *conn) evictBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.body == nil {
		return false
	}
	c.body.evicted = true
	_ = c.Conn.SetReadDeadline(longAgo)
	return true
}

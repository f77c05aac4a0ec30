package cursor

import (
	"context"
	"errors"
	"time"

	"github.com/ragworthatch/ragworthatch/platform"
)

// Store is what a Cursor reads.
type Store interface {
	Newest(ctx context.Context, topic platform.Topic) ([]platform.Record, int64, error)
	Read(ctx context.Context, topic platform.Topic, from int64, wait time.Duration) ([]platform.Record, int64, error)
}

// Cursor is a place in a topic; it is owned by one goroutine.
type Cursor struct {
	store  Store
	topic  platform.Topic
	wait   time.Duration
	limit  time.Duration
	next   int64
	synced bool
	tries  int // of a snapshot
}

// Of three tries of a snapshot, two are given up early, so that a store that was silent is soon found to be back, and one
// is not, so that a slow one can answer.
const (
	quickTries = 3
	quickPart  = 0.4 // of the limit
)

// New returns a cursor that begins with a snapshot, which fails after limit or a part of it. A later read waits up to wait
// for a new record, and fails after limit more.
func New(store Store, topic platform.Topic, wait, limit time.Duration) *Cursor {
	return &Cursor{store: store, topic: topic, wait: wait, limit: limit}
}

// Synced says whether the next read continues the one before; otherwise it takes a snapshot.
func (c *Cursor) Synced() bool { return c.synced }

// Offset is where the next read continues.
func (c *Cursor) Offset() int64 { return c.next }

// Skip makes the next read begin at an offset, if that comes later than where it would begin.
func (c *Cursor) Skip(offset int64) {
	if c.synced {
		c.next = max(c.next, offset)
	}
}

func (c *Cursor) timeout() time.Duration {
	if c.synced {
		return c.wait + c.limit
	}
	if c.tries++; c.tries%quickTries == 0 {
		return c.limit
	}
	return time.Duration(quickPart * float64(c.limit))
}

// Read returns the records since the last read, or a whole snapshot. After platform.ErrTrimmed the next read is a snapshot.
func (c *Cursor) Read(ctx context.Context) (records []platform.Record, whole bool, err error) {
	whole = !c.synced
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var next int64
	if whole {
		records, next, err = c.store.Newest(ctx, c.topic)
	} else {
		records, next, err = c.store.Read(ctx, c.topic, c.next, c.wait)
	}
	switch {
	case errors.Is(err, platform.ErrTrimmed):
		c.synced = false
	case err == nil:
		c.next, c.synced = next, true
	}
	return records, whole, err
}

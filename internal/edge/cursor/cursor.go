package cursor

import (
	"context"
	"errors"
	"time"

	"github.com/ragworthatch/ragworthatch/platform"
)

// Store reads topics, each from a snapshot or from a position. Both methods also return the position at which the next
// read continues.
type Store interface {
	Newest(ctx context.Context, topic platform.Topic) ([]platform.Record, platform.Position, error)
	Read(ctx context.Context, topic platform.Topic, from platform.Position, wait time.Duration) (
		[]platform.Record, platform.Position, error)
}

// Cursor is a position in a topic; it must be used by one goroutine at a time.
type Cursor struct {
	store         Store
	topic         platform.Topic
	wait          time.Duration     // a read after the snapshot waits this long for a new record
	limit         time.Duration     // timeout of a call, beyond its wait
	next          platform.Position // at which the next read continues
	synced        bool              // a snapshot was read and no record after it is missing
	read          bool              // a snapshot was read
	snapshotTries int               // reads of a snapshot so far
	restored      bool              // the last read began a new era
	missed        int64             // offset of the first record that a snapshot stands for; the end if that is not known
}

// Of three tries of a snapshot, two have a short timeout, so that the recovery of a silent store is soon noticed, and
// one has the full timeout, so that a slow store can answer.
const (
	fullTryEvery  = 3
	quickFraction = 0.4 // of the full timeout
)

// New returns a cursor that begins with a snapshot, whose timeout is limit or a fraction of it. Later reads wait up to
// wait for a new record, and time out limit after that.
func New(store Store, topic platform.Topic, wait, limit time.Duration) *Cursor {
	return &Cursor{store: store, topic: topic, wait: wait, limit: limit}
}

// firstMissed returns the offset of the first record that was not read before a snapshot, whose end is given. Records of an
// older copy of the store are older than what was read.
func (c *Cursor) firstMissed(end platform.Position) int64 {
	switch {
	case !c.read:
		return 0
	case end.Era != c.next.Era || end.Offset < c.next.Offset:
		return end.Offset
	}
	return c.next.Offset
}

// Recent returns the records that the last snapshot stands for, as far as the store still holds them. Together with an error
// it returns those that it could read. It must be called before the next read.
func (c *Cursor) Recent(ctx context.Context) (records []platform.Record, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	for from := (platform.Position{Era: c.next.Era, Offset: c.missed}); from.Offset < c.next.Offset; {
		found, next, err := c.store.Read(ctx, c.topic, from, 0)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > from.Offset {
			from.Offset = trimmed.First
			continue
		}
		if err != nil {
			return records, err
		}
		if len(found) == 0 {
			break
		}
		records, from = append(records, found...), next
	}
	return records, nil
}

// Synced reports whether the next read continues the last one; if not, it reads a snapshot.
func (c *Cursor) Synced() bool { return c.synced }

// Position is where the next read continues.
func (c *Cursor) Position() platform.Position { return c.next }

// Restored reports whether the last read was the first snapshot since the store came back from an older copy.
func (c *Cursor) Restored() bool { return c.restored }

// Skip moves the next read forward to a position; it does nothing if the cursor is past it, in another era or not synced.
func (c *Cursor) Skip(to platform.Position) {
	if c.synced && to.Era == c.next.Era {
		c.next.Offset = max(c.next.Offset, to.Offset)
	}
}

// timeout returns the timeout of the next read, and counts it if it is a snapshot.
func (c *Cursor) timeout() time.Duration {
	if c.synced {
		return c.wait + c.limit
	}
	if c.snapshotTries++; c.snapshotTries%fullTryEvery == 0 {
		return c.limit
	}
	return time.Duration(quickFraction * float64(c.limit))
}

// Read returns the records since the last read, or if whole is true, a snapshot. After platform.ErrTrimmed and
// platform.ErrRestored the next read is a snapshot.
func (c *Cursor) Read(ctx context.Context) (records []platform.Record, whole bool, err error) {
	whole = !c.synced
	ctx, cancel := context.WithTimeout(ctx, c.timeout())
	defer cancel()
	var next platform.Position
	if whole {
		records, next, err = c.store.Newest(ctx, c.topic)
	} else {
		records, next, err = c.store.Read(ctx, c.topic, c.next, c.wait)
	}
	switch {
	case errors.Is(err, platform.ErrTrimmed), errors.Is(err, platform.ErrRestored):
		c.synced = false
	case err == nil:
		c.restored = c.read && next.Era != c.next.Era
		if whole {
			c.missed = c.firstMissed(next)
		}
		c.next, c.synced, c.read = next, true, true
	}
	return records, whole, err
}

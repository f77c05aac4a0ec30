package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const maxBuffered = 256 // events buffered while an earlier one is missing

var errSilent = errors.New("no event of this call within the progress timeout")

// Reader reads the answer to one call.
type Reader struct {
	stream          upstream.Stream
	id              string
	progressTimeout time.Duration
	next            uint64                    // index of the chunk that Next returns next
	buffered        map[uint64]upstream.Event // chunks that arrived early, by index
	sawLast         bool                      // the last event has arrived
	count           uint64                    // chunks of the whole answer; valid if sawLast
	onStray         func()
}

// New returns a reader of the chunks from index first on; onStray is called for each event of another call.
// A progressTimeout of 0 means no timeout.
func New(s upstream.Stream, id string, first uint64, progressTimeout time.Duration, onStray func()) *Reader {
	return &Reader{
		stream:          s,
		id:              id,
		progressTimeout: progressTimeout,
		next:            first,
		buffered:        map[uint64]upstream.Event{},
		onStray:         onStray,
	}
}

// Next returns the next chunk, or io.EOF after the last chunk of a complete answer. An answer that ends early or lacks
// a chunk is a *fault.Error with the code Incomplete; no chunk within the timeout is an *upstream.Error with Silent
// set.
func (r *Reader) Next(ctx context.Context) (upstream.Event, error) {
	if r.progressTimeout > 0 {
		timed, cancel := context.WithTimeoutCause(ctx, r.progressTimeout, errSilent)
		defer cancel()
		ctx = timed
	}
	for {
		if e, ok := r.buffered[r.next]; ok {
			delete(r.buffered, r.next)
			r.next++
			return e, nil
		}
		if r.sawLast && r.next >= r.count {
			return upstream.Event{}, r.checkComplete()
		}
		if len(r.buffered) > maxBuffered {
			return upstream.Event{}, incomplete("chunk %d is missing", r.next)
		}
		if err := r.readEvent(ctx); err != nil {
			return upstream.Event{}, err
		}
	}
}

// readEvent reads one event from the stream and buffers its chunk.
func (r *Reader) readEvent(ctx context.Context) error {
	e, err := r.stream.Next(ctx)
	if errors.Is(err, io.EOF) {
		return incomplete("answer ended at chunk %d", r.next)
	}
	if err != nil {
		return r.readError(ctx, err)
	}
	if e.ID != r.id {
		r.onStray()
		return nil
	}
	if e.Last {
		r.sawLast = true
		r.count = e.Count
	}
	isMarker := e.Last && len(e.Data) == 0
	if !isMarker && e.Index >= r.next {
		r.buffered[e.Index] = e
	}
	return nil
}

// readError returns the error of a failed read; one after the progress timeout becomes an *upstream.Error with Silent
// set.
func (r *Reader) readError(ctx context.Context, err error) error {
	if context.Cause(ctx) == errSilent {
		return &upstream.Error{Op: "next", Silent: true, Cause: errSilent}
	}
	return err
}

// checkComplete returns io.EOF if exactly the chunks that the last event counts were received, otherwise an error.
func (r *Reader) checkComplete() error {
	if r.next != r.count || len(r.buffered) > 0 {
		return incomplete("answer counts %d chunks but has %d", r.count, r.next+uint64(len(r.buffered)))
	}
	return io.EOF
}

// incomplete returns a fault with the verdict MayHaveRun and the code Incomplete.
func incomplete(format string, args ...any) error {
	return fault.New(fault.MayHaveRun, fault.Incomplete, format, args...)
}

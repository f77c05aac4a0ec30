package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstr"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

const maxAhead = 256 // events held back while an earlier one is missing

var errSilent = errors.New("no event of this call within the progress bound")

// Reader reads the answer to one call.
type Reader struct {
	stream upstr.Stream
	id     string
	silent time.Duration
	next   uint64
	ahead  map[uint64]upstr.Event
	last   bool
	count  uint64
	stray  func()
}

// New returns a reader of the chunks from index first on; stray is called for each answer to another call.
// A silent bound of zero means none.
func New(s upstr.Stream, id string, first uint64, silent time.Duration, stray func()) *Reader {
	return &Reader{
		stream: s,
		id:     id,
		silent: silent,
		next:   first,
		ahead:  map[uint64]upstr.Event{},
		stray:  stray,
	}
}

// Next returns the next chunk, or io.EOF after the last chunk of a whole answer.
// An answer that ends early is a *fault.Error with the code incomplete.
func (r *Reader) Next(ctx context.Context) (upstr.Event, error) {
	if r.silent > 0 {
		bound, cancel := context.WithTimeoutCause(ctx, r.silent, errSilent)
		defer cancel()
		ctx = bound
	}
	for {
		if e, ok := r.ahead[r.next]; ok {
			delete(r.ahead, r.next)
			r.next++
			return e, nil
		}
		if r.last && r.next >= r.count {
			return upstr.Event{}, r.end()
		}
		if len(r.ahead) > maxAhead {
			return upstr.Event{}, incomplete("chunk %d is missing", r.next)
		}
		if err := r.read(ctx); err != nil {
			return upstr.Event{}, err
		}
	}
}

// read takes one event off the stream.
func (r *Reader) read(ctx context.Context) error {
	e, err := r.stream.Next(ctx)
	if errors.Is(err, io.EOF) {
		return incomplete("answer ended at chunk %d", r.next)
	}
	if err != nil {
		return r.failed(ctx, err)
	}
	if e.ID != r.id {
		r.stray()
		return nil
	}
	if e.Last {
		r.last = true
		r.count = e.Count
	}
	isMarker := e.Last && len(e.Data) == 0
	if !isMarker && e.Index >= r.next {
		r.ahead[e.Index] = e
	}
	return nil
}

func (r *Reader) failed(ctx context.Context, err error) error {
	if context.Cause(ctx) == errSilent {
		return &upstr.Error{Op: "next", Silent: true, Cause: errSilent}
	}
	return err
}

func (r *Reader) end() error {
	if r.next != r.count || len(r.ahead) > 0 {
		return incomplete("answer counts %d chunks but has %d", r.count, r.next+uint64(len(r.ahead)))
	}
	return io.EOF
}

func incomplete(format string, args ...any) error {
	return fault.New(fault.MayHaveRun, fault.Incomplete, format, args...)
}

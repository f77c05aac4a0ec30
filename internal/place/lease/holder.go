package lease

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
)

const (
	// Duration is how long a planner's lease lasts without renewal, judged by each reader from when it read the last one.
	Duration = 30 * time.Second
	// RenewInterval is how often the holder renews it.
	RenewInterval = 10 * time.Second
	// readLimit bounds one read of the log, in records.
	readLimit = 256
	// tail is how many records from the end a process that starts reads; at 660 sides they span more than an hour of renewals
	// and reports.
	tail = 2048
	// beyondEnd is an offset that no stream reaches.
	beyondEnd = 1 << 60
)

// ErrLost says that another process holds the lease.
var ErrLost = errors.New("the planner's lease is held by another process")

// Reader keeps the state of the plan stream and when each lease was last seen alive; one goroutine uses it.
type Reader struct {
	log    logs.Service
	state  *State
	seenAt time.Time // when the last record of the lease in force was read
	readAt time.Time // start of the last read that reached the end
	now    func() time.Time
}

// NewReader returns a reader before its first read.
func NewReader(log logs.Service, now func() time.Time) *Reader {
	return &Reader{log: log, now: now}
}

// State is the state after the last read, nil before the first.
func (r *Reader) State() *State { return r.state }

// ReadAt is when the last read that reached the end of the stream was started.
func (r *Reader) ReadAt() time.Time { return r.readAt }

// Read folds the stream up to its end.
func (r *Reader) Read(ctx context.Context) error {
	if r.state == nil {
		b, err := r.log.Read(ctx, logs.PlanStream, beyondEnd, 1)
		if err != nil {
			return err
		}
		r.state = New(max(0, b.Oldest, b.Next-tail))
		// A lease that was renewed before the first record read may still be in force.
		r.seenAt = r.now()
	}
	for {
		start := r.now()
		b, err := r.log.Read(ctx, logs.PlanStream, r.state.Next(), readLimit)
		if err != nil {
			return err
		}
		if b.First > r.state.Next() {
			// Records were trimmed unread: what the stream still holds decides.
			r.state = New(b.First)
		}
		r.fold(b.Records)
		if r.state.Next() >= b.Next {
			r.readAt = start
			return nil
		}
		if len(b.Records) == 0 {
			return fmt.Errorf("log answered nothing from offset %d although it ends at %d", r.state.Next(), b.Next)
		}
	}
}

func (r *Reader) fold(records [][]byte) {
	for _, data := range records {
		before := r.state.Grant()
		r.state, _ = r.state.Apply(data)
		if r.state.Grant() != before {
			r.seenAt = r.now()
		}
	}
}

// lapsed says whether the lease in force has not been renewed for its length, as far as this process saw.
func (r *Reader) lapsed() bool {
	if r.state.Grant().Offset < 0 && r.state.Next() == 0 {
		return true
	}
	return r.now().Sub(r.seenAt) >= Duration
}

// Holder takes and keeps the planner's lease for one process; one goroutine uses it.
type Holder struct {
	*Reader
	name  string
	lg    *zap.Logger
	lease int64
	sent  time.Time // when the last claim or renewal was sent that took effect
}

// NewHolder returns a holder without a lease.
func NewHolder(name string, log logs.Service, now func() time.Time, lg *zap.Logger) *Holder {
	return &Holder{Reader: NewReader(log, now), name: name, lg: lg, lease: -1}
}

// Lease is the offset of the claim held, -1 for none.
func (h *Holder) Lease() int64 { return h.lease }

// ClaimOrRenew reads the stream, then claims a lapsed lease or renews the own; it returns ErrLost while another process holds it.
func (h *Holder) ClaimOrRenew(ctx context.Context) error {
	if err := h.Read(ctx); err != nil {
		return err
	}
	holding := h.state.Grant()
	switch {
	case h.lease >= 0 && holding.Offset == h.lease:
		if h.now().Sub(h.sent) < RenewInterval {
			return nil
		}
		return h.append(ctx, Record{Kind: KindRenew, Holder: h.name, Lease: h.lease, After: holding.LastRenewal})
	case !h.lapsed():
		h.drop()
		return ErrLost
	}
	h.drop()
	return h.append(ctx, Record{Kind: KindClaim, Holder: h.name, After: holding.LastRenewal})
}

func (h *Holder) drop() {
	if h.lease >= 0 {
		h.lg.Warn("planner's lease lost", zap.Int64("lease", h.lease))
	}
	h.lease = -1
}

// Publish appends a plan under the lease held and reads it back.
func (h *Holder) Publish(ctx context.Context, revision int64, targets map[string]Target) error {
	if h.lease < 0 {
		return ErrLost
	}
	return h.append(ctx, Record{Kind: KindPlan, Holder: h.name, Lease: h.lease, Revision: revision, Targets: targets})
}

// append adds a record and reads up to it; the fold decides whether it took effect.
func (h *Holder) append(ctx context.Context, r Record) error {
	data, err := Encode(r)
	if err != nil {
		return err
	}
	sent := h.now()
	offset, err := h.log.Append(ctx, logs.PlanStream, [][]byte{data})
	if err != nil {
		return fmt.Errorf("append %s: %w", r.Kind, err)
	}
	if err := h.Read(ctx); err != nil {
		return err
	}
	holding := h.state.Grant()
	if r.Kind != KindPlan {
		h.sent = sent
	}
	if r.Kind == KindClaim && holding.Offset == offset {
		h.lease = offset
		h.lg.Info("planner's lease taken", zap.Int64("lease", offset))
	}
	if holding.Offset != h.lease || h.lease < 0 {
		h.drop()
		return ErrLost
	}
	return nil
}

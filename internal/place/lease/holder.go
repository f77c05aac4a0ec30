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
	// Duration is how long the planner's lease is valid without renewal. Each reader measures it with its own clock, from
	// when it read the last renewal.
	Duration = 30 * time.Second
	// RenewInterval is how often the holder renews its lease.
	RenewInterval = 10 * time.Second
	// maxRecordsPerRead bounds one read of the log.
	maxRecordsPerRead = 256
	// tailRecords is how many records before the end of the stream a starting process reads. With 660 sidecars they span
	// more than an hour of renewals and reports.
	tailRecords = 2048
	// beyondEnd is larger than any offset of a stream; a read there returns only the bounds of the stream.
	beyondEnd = 1 << 60
)

// ErrLost is returned when another process holds the lease.
var ErrLost = errors.New("the planner's lease is held by another process")

// Reader follows the plan stream and notes when the lease was last seen renewed. It is not safe for concurrent use.
type Reader struct {
	log           logs.Service
	state         *State
	renewalSeenAt time.Time // when the last claim or renewal of the current lease was read
	upToDateAt    time.Time // start of the last read that reached the end of the stream
	now           func() time.Time
}

// NewReader returns a reader that has not read anything yet.
func NewReader(log logs.Service, now func() time.Time) *Reader {
	return &Reader{log: log, now: now}
}

// State returns the state after the last read, nil before the first.
func (r *Reader) State() *State { return r.state }

// ReadAt returns when the last read that reached the end of the stream started.
func (r *Reader) ReadAt() time.Time { return r.upToDateAt }

// Read applies the records up to the end of the stream.
func (r *Reader) Read(ctx context.Context) error {
	if r.state == nil {
		b, err := r.log.Read(ctx, logs.PlanStream, beyondEnd, 1)
		if err != nil {
			return err
		}
		r.state = New(max(0, b.Oldest, b.Next-tailRecords))
		// A lease whose last renewal precedes the first record read may still be valid.
		r.renewalSeenAt = r.now()
	}
	for {
		start := r.now()
		b, err := r.log.Read(ctx, logs.PlanStream, r.state.Next(), maxRecordsPerRead)
		if err != nil {
			return err
		}
		if b.First > r.state.Next() {
			// Records were trimmed before they were read, so the state is rebuilt from those that remain.
			r.state = New(b.First)
		}
		r.apply(b.Records)
		if r.state.Next() >= b.Next {
			r.upToDateAt = start
			return nil
		}
		if len(b.Records) == 0 {
			return fmt.Errorf("log answered nothing from offset %d although it ends at %d", r.state.Next(), b.Next)
		}
	}
}

// apply applies records in order and notes when the lease was renewed.
func (r *Reader) apply(records [][]byte) {
	for _, data := range records {
		before := r.state.Grant()
		r.state, _ = r.state.Apply(data)
		if r.state.Grant() != before {
			r.renewalSeenAt = r.now()
		}
	}
}

// expired reports whether this process has seen no renewal of the current lease for Duration.
func (r *Reader) expired() bool {
	// No lease was ever granted on an empty stream.
	if r.state.Grant().Offset < 0 && r.state.Next() == 0 {
		return true
	}
	return r.now().Sub(r.renewalSeenAt) >= Duration
}

// Holder claims and renews the planner's lease for one process. It is not safe for concurrent use.
type Holder struct {
	*Reader
	name   string
	lg     *zap.Logger
	lease  int64     // see Lease
	sentAt time.Time // when the last claim or renewal that was read back was sent
}

// NewHolder returns a holder that does not hold the lease yet.
func NewHolder(name string, log logs.Service, now func() time.Time, lg *zap.Logger) *Holder {
	return &Holder{Reader: NewReader(log, now), name: name, lg: lg, lease: -1}
}

// Lease returns the offset of the claim that granted the lease, -1 if it is not held.
func (h *Holder) Lease() int64 { return h.lease }

// ClaimOrRenew reads the stream, then renews its own lease or claims one that has expired. It returns ErrLost while
// another process holds the lease.
func (h *Holder) ClaimOrRenew(ctx context.Context) error {
	if err := h.Read(ctx); err != nil {
		return err
	}
	grant := h.state.Grant()
	switch {
	case h.lease >= 0 && grant.Offset == h.lease:
		if h.now().Sub(h.sentAt) < RenewInterval {
			return nil
		}
		return h.append(ctx, Record{Kind: KindRenew, Holder: h.name, Lease: h.lease, After: grant.LastRenewal})
	case !h.expired():
		h.markLost()
		return ErrLost
	}
	h.markLost()
	return h.append(ctx, Record{Kind: KindClaim, Holder: h.name, After: grant.LastRenewal})
}

// markLost forgets the lease.
func (h *Holder) markLost() {
	if h.lease >= 0 {
		h.lg.Warn("planner lease lost", zap.Int64("lease", h.lease))
	}
	h.lease = -1
}

// Publish appends a plan under the held lease and reads it back. It returns ErrLost if the lease is not held any more.
func (h *Holder) Publish(ctx context.Context, revision int64, targets map[string]Target) error {
	if h.lease < 0 {
		return ErrLost
	}
	return h.append(ctx, Record{Kind: KindPlan, Holder: h.name, Lease: h.lease, Revision: revision, Targets: targets})
}

// append appends a record and reads the stream up to it; the resulting state decides whether the lease is held.
func (h *Holder) append(ctx context.Context, r Record) error {
	data, err := Encode(r)
	if err != nil {
		return err
	}
	sentAt := h.now()
	offset, err := h.log.Append(ctx, logs.PlanStream, [][]byte{data})
	if err != nil {
		return fmt.Errorf("append %s: %w", r.Kind, err)
	}
	if err := h.Read(ctx); err != nil {
		return err
	}
	grant := h.state.Grant()
	if r.Kind != KindPlan {
		h.sentAt = sentAt
	}
	if r.Kind == KindClaim && grant.Offset == offset {
		h.lease = offset
		h.lg.Info("planner lease acquired", zap.Int64("lease", offset))
	}
	if grant.Offset != h.lease || h.lease < 0 {
		h.markLost()
		return ErrLost
	}
	return nil
}

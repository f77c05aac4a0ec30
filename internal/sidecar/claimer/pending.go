package claimer

import (
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/state/claim"
)

// item is a record that waits until it is read back from the log.
type item struct {
	rec      claim.Record
	tried    bool  // an append with it began
	appended bool  // an append with it was acknowledged
	offset   int64 // with appended
	seen     bool  // it was read back
}

// enqueue hands a record to the control goroutine.
func (w *Claimer) enqueue(r claim.Record) (*item, error) {
	if _, err := r.Encode(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending) >= maxPending && r.Kind == claim.Claim {
		return nil, fault.New(fault.NotRun, fault.Overloaded, "%d records wait for the log", len(w.pending))
	}
	it := &item{rec: r}
	w.pending = append(w.pending, it)
	w.nudge()
	return it, nil
}

// drop takes a record off the queue; false means that it may be in the log, now or later.
func (w *Claimer) drop(it *item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = slices.DeleteFunc(w.pending, func(p *item) bool { return p == it })
	return !it.tried
}

// batch returns the records that are to be appended now.
func (w *Claimer) batch() []*item {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*item
	for _, it := range w.pending {
		if it.appended || len(out) == maxBatch {
			continue
		}
		it.tried = true
		out = append(out, it)
	}
	return out
}

// see resolves the waiting record that was read back.
func (w *Claimer) see(r claim.Record) {
	w.pending = slices.DeleteFunc(w.pending, func(it *item) bool {
		if it.rec.Kind != r.Kind || it.rec.Nonce != r.Nonce {
			return false
		}
		it.seen = true
		return true
	})
}

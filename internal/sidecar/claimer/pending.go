package claimer

import (
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/state/claim"
)

// pendingRecord is a record that has not been read back from the log.
type pendingRecord struct {
	record    claim.Record
	attempted bool  // an append of it was started
	appended  bool  // an append of it was acknowledged
	offset    int64 // valid if appended
	readBack  bool  // it was read from the stream
}

// enqueue passes a record to the goroutine of Run. Only claims are refused when the queue is full: outcomes, releases
// and settlements end what has begun.
func (c *Claimer) enqueue(r claim.Record) (*pendingRecord, error) {
	if _, err := r.Encode(); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPendingRecords && r.Kind == claim.Claim {
		return nil, fault.New(fault.NotRun, fault.Overloaded, "%d records wait for the log", len(c.pending))
	}
	pr := &pendingRecord{record: r}
	c.pending = append(c.pending, pr)
	c.wakeUp()
	return pr, nil
}

// remove takes a record off the queue; it returns false if the record may be in the log, now or later.
func (c *Claimer) remove(pr *pendingRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = slices.DeleteFunc(c.pending, func(p *pendingRecord) bool { return p == pr })
	return !pr.attempted
}

// nextBatch returns the records to append next, up to maxAppendRecords, and marks them as attempted.
func (c *Claimer) nextBatch() []*pendingRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*pendingRecord
	for _, pr := range c.pending {
		if pr.appended || len(out) == maxAppendRecords {
			continue
		}
		pr.attempted = true
		out = append(out, pr)
	}
	return out
}

// resolve takes a record that was read back off the queue.
func (c *Claimer) resolve(r claim.Record) {
	c.pending = slices.DeleteFunc(c.pending, func(pr *pendingRecord) bool {
		if pr.record.Kind != r.Kind || pr.record.Nonce != r.Nonce {
			return false
		}
		pr.readBack = true
		return true
	})
}

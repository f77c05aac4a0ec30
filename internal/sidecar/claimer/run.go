package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/state/claim"
)

// Request describes the action to claim.
type Request struct {
	Key        claim.Key
	BodyDigest string
	Until      time.Time // deadline of the request
}

// Run is one claim on an action, from its append to its outcome or release.
type Run struct {
	claimer *Claimer
	req     Request
	nonce   string

	mu          sync.Mutex
	claimRecord *pendingRecord // nil before the first Wait
	ended       bool           // Release or Finish was called
}

// Begin prepares a claim; nothing is appended before Wait.
func (c *Claimer) Begin(req Request) *Run {
	return &Run{claimer: c, req: req, nonce: uuid.NewString()}
}

// Wait appends the claim and waits until it is read back. It returns true if the claim holds the action, which may then
// run once. Otherwise it returns the state of the action, and the claim can never hold it.
// After ErrUnavailable it may be called again.
func (r *Run) Wait(ctx context.Context) (claim.Entry, bool, error) {
	pr, err := r.enqueueClaim()
	if err != nil {
		return claim.Entry{}, false, err
	}
	down := false
	err = r.claimer.waitUntil(ctx, func() bool {
		down = !r.claimer.available
		return pr.readBack || down
	})
	if err != nil {
		return claim.Entry{}, false, err
	}
	if !r.claimer.isReadBack(pr) {
		return claim.Entry{}, false, ErrUnavailable
	}
	e, _ := r.claimer.CachedState(r.req.Key)
	return e, e.State == claim.Claimed && e.Nonce == r.nonce, nil
}

// Release releases the claim; the caller must have ensured that the action will not be dispatched.
func (r *Run) Release() {
	pr, ok := r.markEnded()
	if !ok || pr == nil || r.claimer.remove(pr) || r.isDead(pr) {
		return
	}
	_, _ = r.claimer.enqueue(r.claimer.newRecord(claim.Release, r.nonce, r.req.Key)) // a release always encodes
}

// Finish records the outcome of the run; chunks are those of the answer if the verdict is Ran.
func (r *Run) Finish(v fault.Verdict, chunks [][]byte) {
	if _, ok := r.markEnded(); !ok {
		return
	}
	rec := r.claimer.newRecord(claim.Outcome, r.nonce, r.req.Key)
	rec.Verdict = v
	rec.Owner = r.claimer.opts.Owner
	if v == fault.Ran {
		rec.AnswerDigest = answerDigest(chunks)
		rec.Answer = recordableAnswer(chunks)
	}
	_, _ = r.claimer.enqueue(rec) // an answer within its bound always encodes
}

// isDead reports whether the claim was read back and can no longer hold the action.
func (r *Run) isDead(pr *pendingRecord) bool {
	e, _ := r.claimer.CachedState(r.req.Key)
	return r.claimer.isReadBack(pr) && e.Nonce != r.nonce
}

// enqueueClaim enqueues the record of the claim on its first call and returns the same record later.
func (r *Run) enqueueClaim() (*pendingRecord, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimRecord != nil {
		return r.claimRecord, nil
	}
	rec := r.claimer.newRecord(claim.Claim, r.nonce, r.req.Key)
	rec.Owner = r.claimer.opts.Owner
	rec.BodyDigest = r.req.BodyDigest
	rec.UntilMs = r.req.Until.UnixMilli()
	pr, err := r.claimer.enqueue(rec)
	r.claimRecord = pr
	return pr, err
}

// markEnded returns the record of the claim on its first call, and false later.
func (r *Run) markEnded() (*pendingRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil, false
	}
	r.ended = true
	return r.claimRecord, true
}

// isReadBack reports whether a record was read back from the stream.
func (c *Claimer) isReadBack(pr *pendingRecord) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return pr.readBack
}

// recordableAnswer returns an answer of one chunk of at most maxAnswerBytes, and nil for others.
func recordableAnswer(chunks [][]byte) []byte {
	if len(chunks) != 1 || len(chunks[0]) > maxAnswerBytes {
		return nil
	}
	return chunks[0]
}

// answerDigest returns the digest of an answer's chunks.
func answerDigest(chunks [][]byte) string {
	d := ident.NewDigest()
	for _, chunk := range chunks {
		d.Add(chunk)
	}
	return d.Sum()
}

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

// Request is an action that asks to run.
type Request struct {
	Key        claim.Key
	BodyDigest string
	Until      time.Time // deadline of the request
}

// Run is one claim on an action, from its append to its outcome or release.
type Run struct {
	w     *Claimer
	req   Request
	nonce string

	mu    sync.Mutex
	item  *item
	ended bool
}

// Begin prepares a claim; nothing is appended before Wait.
func (w *Claimer) Begin(req Request) *Run {
	return &Run{w: w, req: req, nonce: uuid.NewString()}
}

// Wait appends the claim and returns true once it holds the action: then the action may run, once.
// Otherwise it returns what the stream says, and the claim is dead.
// After ErrDown it may be called again.
func (r *Run) Wait(ctx context.Context) (claim.Entry, bool, error) {
	it, err := r.claim()
	if err != nil {
		return claim.Entry{}, false, err
	}
	down := false
	err = r.w.until(ctx, func() bool {
		down = !r.w.up
		return it.seen || down
	})
	if err != nil {
		return claim.Entry{}, false, err
	}
	if !r.w.seen(it) {
		return claim.Entry{}, false, ErrDown
	}
	e, _ := r.w.Peek(r.req.Key)
	return e, e.State == claim.Claimed && e.Nonce == r.nonce, nil
}

// GiveUp releases the claim; the caller must have made sure that the action won't be dispatched.
func (r *Run) GiveUp() {
	it, ok := r.end()
	if !ok || it == nil || r.w.drop(it) || r.dead(it) {
		return
	}
	_, _ = r.w.enqueue(r.w.record(claim.Release, r.nonce, r.req.Key)) // a release always encodes
}

// Finish records the outcome of the run; chunks are those of the answer when it ran whole.
func (r *Run) Finish(v fault.Verdict, chunks [][]byte) {
	if _, ok := r.end(); !ok {
		return
	}
	rec := r.w.record(claim.Outcome, r.nonce, r.req.Key)
	rec.Verdict = v
	rec.Owner = r.w.opts.Owner
	if v == fault.Ran {
		rec.AnswerDigest = digest(chunks)
		rec.Answer = recordable(chunks)
	}
	_, _ = r.w.enqueue(rec) // an answer within its bound always encodes
}

// dead says whether the claim was read back and can't hold the action any more.
func (r *Run) dead(it *item) bool {
	e, _ := r.w.Peek(r.req.Key)
	return r.w.seen(it) && e.Nonce != r.nonce
}

func (r *Run) claim() (*item, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.item != nil {
		return r.item, nil
	}
	rec := r.w.record(claim.Claim, r.nonce, r.req.Key)
	rec.Owner = r.w.opts.Owner
	rec.BodyDigest = r.req.BodyDigest
	rec.UntilMs = r.req.Until.UnixMilli()
	it, err := r.w.enqueue(rec)
	r.item = it
	return it, err
}

// end returns the claim's record the first time.
func (r *Run) end() (*item, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil, false
	}
	r.ended = true
	return r.item, true
}

func (w *Claimer) seen(it *item) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return it.seen
}

// recordable is an answer of one chunk that fits a record; nil for others.
func recordable(chunks [][]byte) []byte {
	if len(chunks) != 1 || len(chunks[0]) > maxAnswer {
		return nil
	}
	return chunks[0]
}

func digest(chunks [][]byte) string {
	d := ident.NewDigest()
	for _, c := range chunks {
		d.Add(c)
	}
	return d.Sum()
}

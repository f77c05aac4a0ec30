package assemble

import (
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Effect is the effect of a frame on the answer.
type Effect string

// The effects.
const (
	Foreign   Effect = "foreign"   // frame of another attempt, dropped
	Duplicate Effect = "duplicate" // frame received before, dropped
	Progress  Effect = "progress"  // heartbeat without content
	Started   Effect = "started"   // the upstream has received the call
	Chunk     Effect = "chunk"     // one more chunk
	Complete  Effect = "whole"     // the answer is complete
	Failed    Effect = "failed"    // the attempt failed
)

// Answer collects the chunks of one attempt.
type Answer struct {
	id         *sidepb.Identity
	nextSeq    uint64 // sequence number of the next frame
	chunks     [][]byte
	digest     *ident.Digest
	cost       *sidepb.Cost
	completion *sidepb.Whole // last frame of a complete answer; nil before it
	failure    *sidepb.Failure
}

// New returns an answer that continues after the chunks of earlier attempts.
func New(id *sidepb.Identity, earlier [][]byte) *Answer {
	a := &Answer{id: id, digest: ident.NewDigest()}
	for _, c := range earlier {
		a.appendChunk(c)
	}
	return a
}

// Add handles the next frame; an error means that the answer can't be completed.
func (a *Answer) Add(f *sidepb.CallFrame) (Effect, error) {
	if !a.matches(f.GetId()) {
		return Foreign, nil
	}
	if f.GetSeq() < a.nextSeq {
		return Duplicate, nil
	}
	if f.GetSeq() > a.nextSeq {
		return Failed, a.newError(fault.Incomplete, "frame %d came in place of %d", f.GetSeq(), a.nextSeq)
	}
	a.nextSeq++
	switch body := f.GetBody().(type) {
	case nil:
		return Progress, nil
	case *sidepb.CallFrame_Started:
		return Started, nil
	case *sidepb.CallFrame_Chunk:
		return a.handleChunk(body.Chunk)
	case *sidepb.CallFrame_Whole:
		return a.handleWhole(body.Whole)
	case *sidepb.CallFrame_Failure:
		a.failure = body.Failure
		a.cost = body.Failure.GetCost()
		return Failed, failureError(body.Failure)
	}
	return Failed, a.newError(fault.Malformed, "frame %d has an unknown body", f.GetSeq())
}

// Chunks returns the chunks so far, including those of earlier attempts.
func (a *Answer) Chunks() [][]byte { return a.chunks }

// Cost returns the cost that the side reports for the attempt; nil before its end.
func (a *Answer) Cost() *sidepb.Cost { return a.cost }

// Failure returns the side's failure frame; nil without one.
func (a *Answer) Failure() *sidepb.Failure { return a.failure }

// Replayed reports whether the answer is the recorded outcome of an earlier run.
func (a *Answer) Replayed() bool { return a.completion.GetReplayed() }

// Digest returns the digest of the chunks so far.
func (a *Answer) Digest() string { return a.digest.Sum() }

// matches reports whether a frame belongs to this attempt.
func (a *Answer) matches(id *sidepb.Identity) bool {
	return id.GetRequestId() == a.id.GetRequestId() &&
		id.GetStage() == a.id.GetStage() &&
		id.GetAttempt() == a.id.GetAttempt()
}

// handleChunk appends a chunk, which must be the next by its index.
func (a *Answer) handleChunk(c *sidepb.Chunk) (Effect, error) {
	want := uint64(len(a.chunks))
	if c.GetIndex() != want {
		return Failed, a.newError(fault.Incomplete, "chunk %d came in place of %d", c.GetIndex(), want)
	}
	a.appendChunk(c.GetData())
	return Chunk, nil
}

// handleWhole completes the answer with its last frame, whose count and digest must be those of the chunks.
func (a *Answer) handleWhole(w *sidepb.Whole) (Effect, error) {
	a.completion = w
	a.cost = w.GetCost()
	if have := uint64(len(a.chunks)); w.GetCount() != have {
		return Failed, a.newError(fault.Incomplete, "answer has %d of %d chunks", have, w.GetCount())
	}
	if w.GetDigest() != a.digest.Sum() {
		return Failed, a.newError(fault.Malformed, "digest of the answer is %s, not %s", a.digest.Sum(), w.GetDigest())
	}
	return Complete, nil
}

func (a *Answer) appendChunk(chunk []byte) {
	a.chunks = append(a.chunks, chunk)
	a.digest.Add(chunk)
}

// newError returns an error with the verdict MayHaveRun.
func (a *Answer) newError(c fault.Code, format string, args ...any) *fault.Error {
	return fault.New(fault.MayHaveRun, c, format, args...)
}

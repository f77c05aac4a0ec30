package assemble

import (
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Effect says what a frame did to the answer.
type Effect string

// The effects.
const (
	Foreign   Effect = "foreign"   // frame of another attempt, dropped
	Duplicate Effect = "duplicate" // frame seen before, dropped
	Progress  Effect = "progress"  // no content
	Started   Effect = "started"   // the upstream has the call
	Chunk     Effect = "chunk"     // one more chunk
	Complete  Effect = "whole"     // the answer is whole
	Failed    Effect = "failed"    // the attempt failed
)

// Answer collects the chunks of one attempt.
type Answer struct {
	id     *sidepb.Identity
	seq    uint64
	chunks [][]byte
	digest *ident.Digest
	cost   *sidepb.Cost
	whole  *sidepb.Whole
	failed *sidepb.Failure
}

// New returns an answer that goes on after the held chunks.
func New(id *sidepb.Identity, held [][]byte) *Answer {
	a := &Answer{id: id, digest: ident.NewDigest()}
	for _, c := range held {
		a.add(c)
	}
	return a
}

// Add takes the next frame; an error means that the answer can't become whole.
func (a *Answer) Add(f *sidepb.CallFrame) (Effect, error) {
	if !a.mine(f.GetId()) {
		return Foreign, nil
	}
	if f.GetSeq() < a.seq {
		return Duplicate, nil
	}
	if f.GetSeq() > a.seq {
		return Failed, a.fail(fault.Incomplete, "frame %d came in place of %d", f.GetSeq(), a.seq)
	}
	a.seq++
	switch body := f.GetBody().(type) {
	case nil:
		return Progress, nil
	case *sidepb.CallFrame_Started:
		return Started, nil
	case *sidepb.CallFrame_Chunk:
		return a.chunk(body.Chunk)
	case *sidepb.CallFrame_Whole:
		return a.finish(body.Whole)
	case *sidepb.CallFrame_Failure:
		a.failed = body.Failure
		a.cost = body.Failure.GetCost()
		return Failed, failure(body.Failure)
	}
	return Failed, a.fail(fault.Malformed, "frame %d has an unknown body", f.GetSeq())
}

// Chunks are the chunks so far, held ones included.
func (a *Answer) Chunks() [][]byte { return a.chunks }

// Cost is what the side counted for the attempt; nil before its end.
func (a *Answer) Cost() *sidepb.Cost { return a.cost }

// Failure is the side's failure frame; nil without one.
func (a *Answer) Failure() *sidepb.Failure { return a.failed }

// Replayed says that the answer is the recorded outcome of an earlier run.
func (a *Answer) Replayed() bool { return a.whole.GetReplayed() }

// Digest is the digest of the chunks so far.
func (a *Answer) Digest() string { return a.digest.Sum() }

func (a *Answer) mine(id *sidepb.Identity) bool {
	return id.GetRequestId() == a.id.GetRequestId() &&
		id.GetStage() == a.id.GetStage() &&
		id.GetAttempt() == a.id.GetAttempt()
}

func (a *Answer) chunk(c *sidepb.Chunk) (Effect, error) {
	want := uint64(len(a.chunks))
	if c.GetIndex() != want {
		return Failed, a.fail(fault.Incomplete, "chunk %d came in place of %d", c.GetIndex(), want)
	}
	a.add(c.GetData())
	return Chunk, nil
}

func (a *Answer) finish(w *sidepb.Whole) (Effect, error) {
	a.whole = w
	a.cost = w.GetCost()
	if have := uint64(len(a.chunks)); w.GetCount() != have {
		return Failed, a.fail(fault.Incomplete, "answer has %d of %d chunks", have, w.GetCount())
	}
	if w.GetDigest() != a.digest.Sum() {
		return Failed, a.fail(fault.Malformed, "digest of the answer is %s, not %s", a.digest.Sum(), w.GetDigest())
	}
	return Complete, nil
}

func (a *Answer) add(chunk []byte) {
	a.chunks = append(a.chunks, chunk)
	a.digest.Add(chunk)
}

func (a *Answer) fail(c fault.Code, format string, args ...any) *fault.Error {
	return fault.New(fault.MayHaveRun, c, format, args...)
}

package claim

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

func TestDoubtsAreExpiredClaimsAndLostOutcomes(t *testing.T) {
	c := qt.New(t)
	f := New()
	now := time.Now()
	apply := func(r Record) {
		b, err := r.Encode()
		c.Assert(err, qt.IsNil)
		f.Apply(f.Next(), b)
	}
	claim := func(until time.Time) Key {
		k := Key{Team: "t", Key: uuid.Must(uuid.NewV7()).String()}
		apply(Record{Kind: Claim, Nonce: k.Key, Key: k, Owner: "i1", UntilMs: until.UnixMilli()})
		return k
	}
	over := now.Add(-timing.ClockSkew - time.Minute)
	claim(now.Add(time.Minute)) // still runs
	silent := claim(over)
	lost := claim(now.Add(time.Minute))
	apply(Record{Kind: Outcome, Nonce: lost.Key, Key: lost, Verdict: fault.MayHaveRun})
	done := claim(over)
	apply(Record{Kind: Outcome, Nonce: done.Key, Key: done, Verdict: fault.Ran})
	settled := claim(over)
	apply(Record{Kind: Settle, Nonce: settled.Key, Key: settled, Verdict: fault.NotRun, Author: "a", Reason: "r"})
	released := claim(over)
	apply(Record{Kind: Release, Nonce: released.Key, Key: released})

	var keys []Key
	for _, d := range f.Doubts(now) {
		keys = append(keys, d.Key)
	}
	c.Assert(keys, qt.DeepEquals, []Key{silent, lost})
}

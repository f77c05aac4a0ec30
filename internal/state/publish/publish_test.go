package publish

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
)

const someDigest = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

// testEntry is a process with its own feed and publisher.
type testEntry struct {
	feed *feed.Feed
	*Publisher
}

func newEntry(log *memlog.Log) testEntry {
	f := feed.New(log, feed.Options{}, zap.NewNop())
	return testEntry{feed: f, Publisher: New(log, f, uuid.New, zap.NewNop())}
}

func setPresets(names ...string) config.Change {
	var c config.Change
	for _, name := range names {
		c.Set.Presets = append(c.Set.Presets, preset.Spec{Name: name})
	}
	return c
}

func setTeamShare(share float64) config.Change {
	t := team.Spec{Name: "acme", TokenDigest: someDigest, Share: share}
	return config.Change{Set: config.Objects{Teams: []team.Spec{t}}}
}

func TestConcurrentPresetSwitches(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	log := memlog.New()
	one, two := newEntry(log), newEntry(log)
	_, err := one.Publish(ctx, "ann", setPresets("ordinary", "peak", "maintenance"))
	c.Assert(err, qt.IsNil)
	first, err := one.UsePreset(ctx, "ann", "ordinary")
	c.Assert(err, qt.IsNil)
	c.Assert(two.feed.Poll(ctx), qt.IsNil)
	saw := WithBase(first.Revision)

	won, err := one.UsePreset(ctx, "ann", "peak", saw)
	c.Assert(err, qt.IsNil)
	c.Assert(won.State, qt.Equals, Accepted)
	c.Assert(won.Replaced.Name, qt.Equals, "ordinary")

	second, err := two.UsePreset(ctx, "bob", "maintenance", saw)
	var e *Error
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(second.State, qt.Equals, Rejected)
	c.Assert(second.Conflict.String(), qt.Contains, `ann came first at revision`)
	c.Assert(second.Conflict.String(), qt.Contains, `yours "maintenance", theirs "peak"`)
	for _, e := range []testEntry{one, two} {
		c.Assert(e.feed.Current().Config().InForce, qt.Equals, "peak")
	}
}

func TestOneOfManyConcurrentPresetSwitchesIsAccepted(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	log := memlog.New()
	names := []string{"one", "two", "three", "four", "five", "six", "seven", "eight"}
	first := newEntry(log)
	_, err := first.Publish(ctx, "ann", setPresets(names...))
	c.Assert(err, qt.IsNil)
	results := make([]Result, len(names))
	var all sync.WaitGroup
	for i, name := range names {
		e := newEntry(log)
		all.Go(func() { results[i], _ = e.UsePreset(ctx, name, name, WithBase(config.Absent)) })
	}
	all.Wait()
	c.Assert(first.feed.Poll(ctx), qt.IsNil)
	inForce := first.feed.Current().PresetInForce()
	for i, r := range results {
		if names[i] == inForce.Name {
			c.Assert(r.State, qt.Equals, Accepted)
			c.Assert(r.Revision, qt.Equals, inForce.Revision)
			continue
		}
		c.Assert(r.State, qt.Equals, Rejected)
		c.Assert(r.Conflict.Objects[0].Current.Author, qt.Equals, inForce.Author)
	}
}

func TestConflictBeyondTheLocalStateIsReported(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	log := memlog.New()
	one, two := newEntry(log), newEntry(log)
	_, err := one.Publish(ctx, "ann", setTeamShare(0.1))
	c.Assert(err, qt.IsNil)
	c.Assert(two.feed.Poll(ctx), qt.IsNil)
	_, err = one.Publish(ctx, "ann", setTeamShare(0.2))
	c.Assert(err, qt.IsNil)

	log.FailReads(1) // entry two publishes without having read ann's change
	got, err := two.Publish(ctx, "bob", setTeamShare(0.3))
	c.Assert(err, qt.IsNotNil)
	c.Assert(got.State, qt.Equals, Rejected)
	c.Assert(got.Conflict.Objects, qt.HasLen, 1)
	c.Assert(got.Conflict.Objects[0].Differences, qt.DeepEquals,
		[]config.Difference{{Field: "share", Yours: "0.3", Theirs: "0.2"}})
}

func TestInvalidChangeIsNotAppended(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	e := newEntry(log)
	got, err := e.Publish(context.Background(), "ann", setTeamShare(1.5))
	c.Assert(err, qt.IsNotNil)
	c.Assert(got.State, qt.Equals, Rejected)
	c.Assert(got.Problems, qt.HasLen, 1)
	c.Assert(got.Problems[0].String(), qt.Equals, "teams/acme: share: between 0 and 1")
	c.Assert(log.Appends(), qt.Equals, 0)
}

func TestPublishWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := memlog.New()
		e := newEntry(log)
		c.Assert(e.feed.Poll(t.Context()), qt.IsNil)
		log.SetDown(true)
		got, err := e.Publish(t.Context(), "ann", setTeamShare(0.1))
		c.Assert(err, qt.IsNotNil)
		c.Assert(got.State, qt.Equals, NotAccepted)
		c.Assert(got.Settle, qt.Equals, "")
	})
}

func TestLostAppendAnswer(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault func(*memlog.Log)
		state State
	}{
		{"the append took effect", func(l *memlog.Log) { l.LoseAnswers(1) }, Accepted},
		{"the append has not taken effect yet", func(l *memlog.Log) { l.HoldAppends(1) }, NotAccepted},
		{"the answer of the void is lost too", func(l *memlog.Log) { l.HoldAppends(2) }, Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				log := memlog.New()
				e := newEntry(log)
				test.fault(log)
				got, _ := e.Publish(t.Context(), "ann", setTeamShare(0.1))
				c.Assert(got.State, qt.Equals, test.state)

				log.Release() // appends that arrive late must not change the answer
				settled, _ := e.Settle(t.Context(), got.Nonce)
				if test.state != Unknown {
					c.Assert(settled.State, qt.Equals, test.state)
				}
				c.Assert(settled.State, qt.Not(qt.Equals), Unknown)
				_, inForce := e.feed.Current().Config().Teams["acme"]
				c.Assert(inForce, qt.Equals, settled.State == Accepted)
			})
		})
	}
}

func TestUnknownResultNamesTheSettleCommand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := memlog.New()
		e := newEntry(log)
		c.Assert(e.feed.Poll(t.Context()), qt.IsNil)
		log.LoseAnswers(1)
		log.FailReads(1000)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		got, err := e.Publish(ctx, "ann", setTeamShare(0.1))
		c.Assert(err, qt.IsNotNil)
		c.Assert(got.State, qt.Equals, Unknown)
		c.Assert(got.Settle, qt.Equals, "ragworthatch publish --settle "+got.Nonce)
		c.Assert(e.Unsettled(), qt.HasLen, 1)
		c.Assert(e.Unsettled()[0].Nonce, qt.Equals, got.Nonce)
		log.FailReads(0)
		settled, err := e.Settle(t.Context(), got.Nonce)
		c.Assert(err, qt.IsNil)
		c.Assert(settled.State, qt.Equals, Accepted)
		c.Assert(e.Unsettled(), qt.HasLen, 0)
		again, err := e.Publish(t.Context(), "ann", setTeamShare(0.1), WithNonce(got.Nonce))
		c.Assert(err, qt.IsNil)
		c.Assert(again.Revision, qt.Equals, settled.Revision)
	})
}

func TestEntryBehindTheBaseDoesNotPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := memlog.New()
		one, two := newEntry(log), newEntry(log)
		c.Assert(two.feed.Poll(t.Context()), qt.IsNil)
		first, err := one.Publish(t.Context(), "ann", setTeamShare(0.1))
		c.Assert(err, qt.IsNil)
		log.SetDown(true)
		change := setTeamShare(0.2)
		change.Base = map[config.Ref]int64{{Kind: config.Teams, Name: "acme"}: first.Revision}
		got, _ := two.Publish(t.Context(), "ann", change)
		c.Assert(got.State, qt.Equals, NotAccepted)
		c.Assert(got.Message, qt.Contains, "has read up to -1 only")
	})
}

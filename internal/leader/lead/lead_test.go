package lead_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
)

// startCoordinator runs a coordinator with one engine until the test ends.
func startCoordinator(t *testing.T) (*lead.Coordinator, *pace.Limiter[hosts.Lifetime]) {
	pools := []rule.Pool{{Name: "engines", Engine: &rule.Engine{Slots: 64, Tokens: 400_000}}}
	rules := rule.New(1, nil, pools, nil, rule.Limits{})
	table := hosts.New([]hosts.Upstream{{ID: "e", Pool: "engines", Version: "v1", State: hosts.Ready}}, time.Now())
	limits := pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now})
	m, err := meter.New(meter.Process{Role: "edge"})
	qt.Assert(t, err, qt.IsNil)
	l := lead.New(lead.Options{
		Rules: func() *rule.Rules { return rules }, Hosts: func() *hosts.Table { return table }, Now: time.Now,
		Log: zap.NewNop(),
		Crash: crash.New(crash.Options{Now: time.Now, Leads: func() bool { return true },
			HearsOthers: func() bool { return true }}),
		Limits:  limits,
		Stats:   stats.New(m, func() stats.Gauges { return stats.Gauges{} }),
		Origins: newOrigins(t),
		Notices: notices.New(notices.Options{Now: time.Now, Log: zap.NewNop()}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l, limits
}

// newOrigins returns a keeper that knows where the streams 1 and 9 began, and nothing else.
func newOrigins(t *testing.T) *origin.Keeper {
	m, err := meter.New(meter.Process{Role: "edge"})
	qt.Assert(t, err, qt.IsNil)
	k := origin.New("self", origin.Options{
		Hosts: func() *hosts.Table { return hosts.New(nil, time.Time{}) }, Pools: func() map[string]time.Duration { return nil },
		Stats: stats.New(m, func() stats.Gauges { return stats.Gauges{} }), Now: time.Now, Log: zap.NewNop(),
	})
	k.Begun(1, origin.Origin{Pool: "engines", Version: "v1"})
	k.Begun(9, origin.Origin{Pool: "engines", Version: "v9"})
	return k
}

// A stream that is taken up had its first event long before, so its target does not count from the first attempt. One
// whose version has no engine, or is not known, is refused at once.
func TestStreamsTakenUpAreDecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := startCoordinator(t)
		first := time.Now()
		deadline := first.Add(6 * time.Second)
		for _, test := range []struct {
			id      string
			stream  lead.Stream
			at      time.Duration
			refused sched.Reason
		}{
			{"first", lead.Stream{}, 0, ""},
			{"again", lead.Stream{Key: 1, TakenUp: true}, 2500 * time.Millisecond, ""},
			{"gone", lead.Stream{Key: 9, TakenUp: true}, 2500 * time.Millisecond, sched.NoVersion},
			{"unknown", lead.Stream{TakenUp: true}, 2500 * time.Millisecond, sched.NoOrigin},
			{"found", lead.Stream{Key: 7, TakenUp: true, Found: origin.Found{
				Origin: origin.Origin{Pool: "engines", Version: "v1"}, Source: origin.SourceRecord}}, 2500 * time.Millisecond, ""},
			{"moved", lead.Stream{Key: 7, TakenUp: true, Found: origin.Found{
				Origin: origin.Origin{Pool: "others", Version: "v1"}, Source: origin.SourceRecord}}, 2500 * time.Millisecond, sched.NoVersion},
		} {
			time.Sleep(time.Until(first.Add(test.at)))
			now := time.Now()
			got := make(chan lead.Decision, 1)
			l.Submit(lead.Order{
				Fingerprint: 1, Stream: test.stream,
				Job:    sched.Job{ID: test.id, Arrived: now, Target: now.Add(2 * time.Second), Deadline: deadline},
				Engine: place.Order{ID: test.id, Pool: "engines", PromptTokens: 100, OutputLimit: 10},
			}, func(d lead.Decision) { got <- d })
			d := <-got
			qt.Check(t, d.Refused, qt.Equals, test.refused, qt.Commentf("%s", test.id))
			qt.Check(t, d.Late, qt.IsFalse, qt.Commentf("%s", test.id))
			qt.Check(t, (d.RetryAfter > 0) == (test.refused != ""), qt.IsTrue, qt.Commentf("%s", test.id))
			qt.Check(t, time.Since(now) < time.Second, qt.IsTrue)
			l.Ended(test.id, "e", false)
		}
	})
}

func TestTargetsCountFromTheFirstVisit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := startCoordinator(t)
		first := time.Now()
		deadline := first.Add(6 * time.Second)
		for _, test := range []struct {
			id          string
			fingerprint uint64
			at          time.Duration
			late        bool
		}{
			{"first", 1, 0, false},
			{"soon back", 1, time.Second, false},
			{"late back", 1, 2500 * time.Millisecond, true},
			{"another caller", 2, 2600 * time.Millisecond, false},
		} {
			time.Sleep(time.Until(first.Add(test.at)))
			now := time.Now()
			got := make(chan lead.Decision, 1)
			l.Submit(lead.Order{
				Fingerprint: test.fingerprint,
				Job:         sched.Job{ID: test.id, Arrived: now, Target: now.Add(2 * time.Second), Deadline: deadline},
				Engine:      place.Order{ID: test.id, Pool: "engines", PromptTokens: 100, OutputLimit: 10},
			}, func(d lead.Decision) { got <- d })
			d := <-got
			qt.Check(t, d.Upstream, qt.Equals, "e")
			qt.Check(t, d.Late, qt.Equals, test.late, qt.Commentf("%s", test.id))
			l.Ended(test.id, "e", false)
		}
	})
}

// A panic in one decision refuses the open orders, and must not affect later ones. The stage here depends on one that
// does not exist.
func TestPanicsInDecisionsDoNotEndTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := startCoordinator(t)
		got := make(chan lead.Decision, 1)
		job := sched.Job{ID: "bad", Arrived: time.Now(), Target: time.Now().Add(time.Second),
			Deadline: time.Now().Add(time.Second)}
		job.Stages = []sched.Stage{{Pool: "engines", Pieces: 0, After: []int{9}}}
		l.Submit(lead.Order{Job: job, Engine: place.Order{ID: "bad", Pool: "engines"}}, func(d lead.Decision) { got <- d })
		qt.Check(t, (<-got).Refused, qt.Equals, sched.Failing)
		job = sched.Job{ID: "good", Arrived: time.Now(), Target: time.Now().Add(time.Second),
			Deadline: time.Now().Add(time.Second)}
		l.Submit(lead.Order{Job: job, Engine: place.Order{ID: "good", Pool: "engines"}}, func(d lead.Decision) { got <- d })
		qt.Check(t, (<-got).Upstream, qt.Equals, "e")
	})
}

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
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
)

// startCoordinator runs a coordinator with one engine until the test ends.
func startCoordinator(t *testing.T) (*lead.Coordinator, *pace.Limiter[hosts.Lifetime]) {
	pools := []rule.Pool{{Name: "engines", Engine: &rule.Engine{Slots: 64, Tokens: 100_000}}}
	rules := rule.New(1, nil, pools, nil, rule.Limits{})
	table := hosts.New([]hosts.Upstream{{ID: "e", Pool: "engines", State: hosts.Ready}}, time.Now())
	limits := pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now})
	l := lead.New(lead.Options{
		Rules: func() *rule.Rules { return rules }, Hosts: func() *hosts.Table { return table }, Now: time.Now,
		Log: zap.NewNop(),
		Crash: crash.New(crash.Options{Now: time.Now, Leads: func() bool { return true },
			HearsOthers: func() bool { return true }}),
		Limits:  limits,
		Notices: notices.New(notices.Options{Now: time.Now, Log: zap.NewNop()}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l, limits
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
				Engine:      place.Order{ID: test.id, Pool: "engines", PromptTokens: 100, OutputTokens: 10},
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

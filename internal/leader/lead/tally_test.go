package lead

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/fair"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
)

// TestRefusalsAreLoggedTogether guards against a log line for each refusal of an overload, and against lines that hide who
// was refused.
func TestRefusalsAreLoggedTogether(t *testing.T) {
	c := qt.New(t)
	m, err := meter.New(meter.Process{Role: "edge"})
	c.Assert(err, qt.IsNil)
	core, logs := observer.New(zap.InfoLevel)
	tl := newTally(stats.New(m, func() stats.Gauges { return stats.Gauges{} }), zap.New(core))
	now := time.Unix(1000, 0)
	tl.flush(now)
	for i := range 2000 {
		j := sched.Job{Route: "chat", Team: fmt.Sprint("team", i%100), Rank: 2}
		tl.refused(j, sched.Refusal{Reason: sched.Overloaded, Pool: "p", RetryAfter: time.Duration(1+i%3) * time.Second})
	}
	tl.refused(sched.Job{Route: "draft", RequestID: "one"}, sched.Refusal{Reason: sched.Expired, Pool: "p", RetryAfter: time.Second})
	tl.granted(sched.Job{Route: "draft"}, true)
	tl.flush(now.Add(tallyInterval / 2))
	c.Assert(logs.Len(), qt.Equals, 0)
	tl.flush(now.Add(tallyInterval))
	c.Assert(logs.Len(), qt.Equals, maxTallyLines)
	first, second := logs.All()[0].ContextMap(), logs.All()[1].ContextMap()
	c.Check(first["route"], qt.Equals, "draft", qt.Commentf("the most urgent come first"))
	c.Check(first["grantedLate"], qt.Equals, int64(1))
	c.Check(first["example"], qt.Equals, "one")
	c.Check(second["refused"], qt.Equals, int64(20))
	c.Check(second["retryUntil"], qt.Equals, 3*time.Second)
	tl.flush(now.Add(2 * tallyInterval))
	c.Check(logs.Len(), qt.Equals, maxTallyLines, qt.Commentf("counts start anew"))
}

// TestPrioritiesMakeOrdersCompete guards against competition by rank where all priorities are the same, and against the loss
// of what the policy knows with each version of the configuration.
func TestPrioritiesMakeOrdersCompete(t *testing.T) {
	c := qt.New(t)
	var rules *rule.Rules
	limits := pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now})
	l := New(Options{Rules: func() *rule.Rules { return rules }, Hosts: func() *hosts.Table { return hosts.New(nil, time.Time{}) },
		Limits: limits, Log: zap.NewNop()})
	publish := func(priorities ...int) *fair.Policy {
		var routes []rule.Route
		for i, p := range priorities {
			routes = append(routes, rule.Route{Host: fmt.Sprint(i), Prefix: "/", Priority: p})
		}
		rules = rule.New(1, routes, nil, nil, rule.Limits{})
		l.refreshConfig()
		return l.policy
	}
	c.Check(publish(1, 1), qt.IsNil)
	first := publish(1, 2)
	c.Check(first, qt.IsNotNil)
	c.Check(publish(0, 2) == first, qt.IsTrue)
	c.Check(publish(2, 2), qt.IsNil)
}

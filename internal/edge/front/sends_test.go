package front

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/relay"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/platform"
)

// A request that is not sent because its upstream has left the list, or its zone is evacuated, leaves the number of
// attempts as it was.
func TestRequestsThatWereNotSentDoNotCount(t *testing.T) {
	c := qt.New(t)
	evacuated := hosts.Upstream{ID: "evacuated", Zone: "z", State: hosts.Ready}
	f := New(Options{Hosts: func() *hosts.Table {
		return hosts.New([]hosts.Upstream{evacuated}, time.Now()).WithEvacuated([]string{"z"})
	}, Now: time.Now})
	x := &exchange{
		Front: f, in: httptest.NewRequest("GET", "/x", nil), caller: context.Background(),
		out:   relay.New(httptest.NewRecorder()),
		route: rule.Route{Kind: rule.Safe, Attempts: 2}, deadline: time.Now().Add(time.Minute),
	}
	for _, u := range []hosts.Upstream{{ID: "gone"}, evacuated, {ID: "gone"}} {
		_, failure := x.send(u, nil, "")
		c.Assert(failure != nil, qt.IsTrue)
		c.Check(x.shouldRetry(failure), qt.IsTrue)
		c.Check(x.sends, qt.Equals, 0,
			qt.Commentf("nothing was sent to an upstream that has left, so no attempt is counted or taken back"))
	}
}

// A request whose upstream refuses the connection leaves the number of attempts as it was.
func TestRequestsWithoutAConnectionDoNotCount(t *testing.T) {
	c := qt.New(t)
	m, err := meter.New(meter.Process{Role: "edge"})
	c.Assert(err, qt.IsNil)
	closed := hosts.Upstream{ID: "up-1", Address: ports.Next(), State: hosts.Ready}
	f := New(Options{
		Codec: Codec{ForwardHeader: platform.ForwardHeader},
		Rules: func() *rule.Rules { return rule.New(0, nil, nil, nil, rule.Limits{}) },
		Hosts: func() *hosts.Table { return hosts.New([]hosts.Upstream{closed}, time.Now()) }, Now: time.Now,
		Notices: notices.New(notices.Options{
			OnLimit: func(pace.Statement[hosts.Lifetime]) bool { return false }, Now: time.Now}),
		Client: uphttp.New(platform.ReadAnswer, time.Now, func() {}), Log: zap.NewNop(),
		Stats: stats.New(m, func() stats.Gauges { return stats.Gauges{} }),
	})
	x := &exchange{
		Front: f, in: httptest.NewRequest("GET", "/x", nil), caller: context.Background(),
		out:   relay.New(httptest.NewRecorder()),
		route: rule.Route{Kind: rule.Safe, Attempts: 2}, deadline: time.Now().Add(time.Minute), rules: f.o.Rules(),
	}
	_, failure := x.send(closed, nil, "")
	c.Assert(failure != nil, qt.IsTrue)
	c.Check(failure.Verdict, qt.Equals, fault.NotRun)
	c.Check(x.sends, qt.Equals, 0)
}

// silentDispatcher never decides on an order.
type silentDispatcher struct{ lead.Dispatcher }

func (silentDispatcher) Submit(lead.Order, func(lead.Decision)) {}

// Shortly before the entry exits, a request that still waits for the leader's decision is refused.
func TestUndecidedRequestsAreRefusedAtTheEnd(t *testing.T) {
	c := qt.New(t)
	ending := make(chan struct{})
	x := &exchange{
		Front: New(Options{Leader: silentDispatcher{}, Ending: ending, Now: time.Now, Log: zap.NewNop()}),
		in:    httptest.NewRequest("POST", "/x", nil),
	}
	time.AfterFunc(10*time.Millisecond, func() { close(ending) })
	_, failure := x.awaitDecision(func(reply func(lead.Decision)) { x.o.Leader.Submit(lead.Order{}, reply) })
	c.Assert(failure != nil, qt.IsTrue)
	c.Check(failure.Verdict, qt.Equals, fault.NotRun)
	c.Check(failure.Code, qt.Equals, fault.Draining)
	c.Check(statusOf(failure), qt.Equals, 503)
}

// When an attempt may have run and a later one was not sent, the caller must not get the status of a request that did
// not run.
func TestRequestsThatMayHaveRunAreNotRefused(t *testing.T) {
	c := qt.New(t)
	m, err := meter.New(meter.Process{Role: "edge"})
	c.Assert(err, qt.IsNil)
	for code, status := range map[fault.Code]int{fault.Deadline: 504, fault.Overloaded: 502, fault.Draining: 502} {
		w := httptest.NewRecorder()
		x := &exchange{
			Front: New(Options{Now: time.Now, Log: zap.NewNop(),
				Stats: stats.New(m, func() stats.Gauges { return stats.Gauges{} })}),
			caller: context.Background(), out: relay.New(w), mayHaveRun: true, rules: rule.New(0, nil, nil, nil, rule.Limits{}),
		}
		x.fail(w, fault.New(fault.NotRun, code, "nothing more was sent"))
		c.Check(w.Code, qt.Equals, status)
	}
}

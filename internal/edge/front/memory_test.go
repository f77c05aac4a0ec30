package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
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
	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/platform"
)

// Bodies were kept until the end of a stream that no other upstream could take over, which exhausted the memory in a burst
// (review/4). A body is kept while the request may be sent again.
func TestABodyIsKeptWhileItMayBeSentAgain(t *testing.T) {
	c := qt.New(t)
	m, err := meter.New(meter.Process{Role: "edge"})
	c.Assert(err, qt.IsNil)
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	up := hosts.Upstream{ID: "up-1", Address: server.Listener.Addr().String(), State: hosts.Ready}
	budget := memory.New(100 << 20)
	bodies := intake.New(intake.Options{Limits: func() intake.Limits { return intake.Limits{} }, Budget: budget, Now: time.Now, Log: zap.NewNop()})
	f := New(Options{
		Codec: Codec{ForwardHeader: platform.ForwardHeader}, Memory: budget, Now: time.Now, Log: zap.NewNop(),
		Hosts: func() *hosts.Table { return hosts.New([]hosts.Upstream{up}, time.Now()) },
		Notices: notices.New(notices.Options{
			OnLimit: func(pace.Statement[hosts.Lifetime]) bool { return false }, Now: time.Now}),
		Client: uphttp.New(platform.ReadAnswer, time.Now, func() {}),
		Stats:  stats.New(m, func() stats.Gauges { return stats.Gauges{} }),
	})
	for _, route := range []struct {
		rule.Route
		kept bool
	}{
		{rule.Route{Kind: rule.Safe, Attempts: 2}, true},
		{rule.Route{Kind: rule.Safe, Attempts: 1}, false},
		{rule.Route{Kind: rule.Unsafe, Attempts: 2}, false},
		{rule.Route{Kind: rule.Streaming, Attempts: 2, Resumable: true}, true},
		{rule.Route{Kind: rule.Streaming, Attempts: 2}, false},
	} {
		r := httptest.NewRequest("POST", "/x", strings.NewReader(strings.Repeat("b", 100_000)))
		body, failure := bodies.ReadBody(httptest.NewRecorder(), r, intake.BodyOptions{})
		c.Assert(failure == nil, qt.IsTrue)
		x := &exchange{
			Front: f, in: r, caller: context.Background(), out: relay.New(httptest.NewRecorder()), body: body,
			route: route.Route, deadline: time.Now().Add(time.Minute), rules: rule.New(0, nil, nil, nil, rule.Limits{}),
		}
		answer, failure := x.send(up, nil, "")
		c.Assert(failure == nil, qt.IsTrue)
		answer.Close()
		held, _ := budget.Load(memory.SmallBodies)
		c.Check(held > 0, qt.Equals, route.kept, qt.Commentf("%+v", route))
		x.releaseMemory()
		held, _ = budget.Load(memory.SmallBodies)
		c.Check(held, qt.Equals, int64(0))
	}
}

package lead_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/platform"
)

// A stage call that is scheduled when its zone is evacuated is not sent, and its pieces go to another zone without
// counting as failed.
func TestScheduledCallsDoNotEnterAnEvacuatedZone(t *testing.T) {
	c := qt.New(t)
	var before, after atomic.Int64
	serve := func(n *atomic.Int64) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == platform.StageRunPath {
				n.Add(1)
			}
			_, _ = w.Write([]byte(`{"items":[{"handle":"h"}]}`))
		}))
		c.Cleanup(s.Close)
		return s.Listener.Addr().String()
	}
	up := func(id, pool, zone, address string) hosts.Upstream {
		return hosts.Upstream{ID: id, Pool: pool, Zone: zone, Address: address, Version: "v1", State: hosts.Ready}
	}
	var table atomic.Pointer[hosts.Table]
	table.Store(hosts.New([]hosts.Upstream{up("s1", "stages", "a", serve(&before)), up("s2", "stages", "b", serve(&after)),
		up("e", "engines", "b", "")}, time.Now()))
	rules := rule.New(1, nil, []rule.Pool{{Name: "engines", Engine: &rule.Engine{Slots: 64, Tokens: 100_000}},
		{Name: "stages", Batch: &rule.Batch{Size: 4, Call: 10 * time.Millisecond, Headroom: 1e6, ResultRetention: time.Minute}}},
		nil, rule.Limits{})
	m, err := meter.New(meter.Process{Role: "edge"})
	c.Assert(err, qt.IsNil)
	l := lead.New(lead.Options{
		Rules: func() *rule.Rules { return rules }, Hosts: table.Load, Now: time.Now, Log: zap.NewNop(),
		Client: uphttp.New(platform.ReadAnswer, time.Now, func() {}),
		Crash: crash.New(crash.Options{Now: time.Now, Leads: func() bool { return true },
			HearsOthers: func() bool { return true }}),
		Limits:  pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now}),
		Origins: newOrigins(t), Stats: stats.New(m, func() stats.Gauges { return stats.Gauges{} }),
		Notices: notices.New(notices.Options{Now: time.Now, Log: zap.NewNop(),
			OnLimit: func(pace.Statement[hosts.Lifetime]) bool { return false }}),
		Codec: lead.Codec{RunPath: platform.StageRunPath, ReleasePath: platform.StageFreePath, HeaderFor: platform.StageHeader,
			EncodeBatch: func(items []call.Item) ([]byte, error) { // between the decision on a call and its send
				table.Store(table.Load().WithEvacuated([]string{"a"}))
				return platform.EncodeBatch(items)
			},
			DecodeBatch: platform.DecodeBatch, EncodeRelease: platform.EncodeFree},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	now, got := time.Now(), make(chan lead.Decision, 8)
	l.Submit(lead.Order{
		Job: sched.Job{ID: "one", Arrived: now, Target: now.Add(2 * time.Second), Deadline: now.Add(5 * time.Second),
			Stages: []sched.Stage{{Pool: "stages", Pieces: 1, ResultBytes: 10}}},
		Engine: place.Order{ID: "one", Pool: "engines", PromptTokens: 100, OutputLimit: 10},
	}, func(d lead.Decision) {
		if !d.Pending {
			got <- d
		}
	})
	c.Check((<-got).Upstream, qt.Equals, "e")
	c.Check(before.Load(), qt.Equals, int64(0))
	c.Check(after.Load(), qt.Equals, int64(1))
}

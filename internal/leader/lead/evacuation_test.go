package lead_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
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

// stageSite is a coordinator with an engine and two stage upstreams s1 and s2 in the zones a and b.
type stageSite struct {
	*lead.Coordinator
	c        *qt.C
	table    atomic.Pointer[hosts.Table]
	mu       sync.Mutex
	arrivals map[string][]time.Time // of calls and releases, by upstream and path
}

// startStageSite runs a coordinator until the test ends; encoding is called between the decision on a call and its send.
func startStageSite(t *testing.T, limits *pace.Limiter[hosts.Lifetime], encoding func(*stageSite)) *stageSite {
	s := &stageSite{c: qt.New(t), arrivals: map[string][]time.Time{}}
	serve := func(id string) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.arrivals[id+r.URL.Path] = append(s.arrivals[id+r.URL.Path], time.Now())
			_, _ = w.Write([]byte(`{"items":[{"handle":"h"}]}`))
		}))
		s.c.Cleanup(server.Close)
		return server.Listener.Addr().String()
	}
	up := func(id, pool, zone, address string) hosts.Upstream {
		return hosts.Upstream{ID: id, Pool: pool, Zone: zone, Address: address, Version: "v1", State: hosts.Ready}
	}
	s.table.Store(hosts.New([]hosts.Upstream{up("s1", "stages", "a", serve("s1")), up("s2", "stages", "b", serve("s2")),
		up("e", "engines", "b", "")}, time.Now()))
	rules := rule.New(1, nil, []rule.Pool{{Name: "engines", Engine: &rule.Engine{Slots: 64, Tokens: 100_000}},
		{Name: "stages", Batch: &rule.Batch{Size: 4, Call: 10 * time.Millisecond, Headroom: 1e6, ResultRetention: time.Minute}}},
		nil, rule.Limits{})
	m, err := meter.New(meter.Process{Role: "edge"})
	s.c.Assert(err, qt.IsNil)
	s.Coordinator = lead.New(lead.Options{
		Rules: func() *rule.Rules { return rules }, Hosts: s.table.Load, Now: time.Now, Log: zap.NewNop(),
		Client: uphttp.New(platform.ReadAnswer, time.Now, func() {}),
		Crash: crash.New(crash.Options{Now: time.Now, Leads: func() bool { return true },
			HearsOthers: func() bool { return true }}),
		Limits: limits, Origins: newOrigins(t), Stats: stats.New(m, func() stats.Gauges { return stats.Gauges{} }),
		Notices: notices.New(notices.Options{Now: time.Now, Log: zap.NewNop(),
			OnLimit: func(pace.Statement[hosts.Lifetime]) bool { return false }}),
		Codec: lead.Codec{RunPath: platform.StageRunPath, ReleasePath: platform.StageFreePath, HeaderFor: platform.StageHeader,
			EncodeBatch: func(items []call.Item) ([]byte, error) {
				encoding(s)
				return platform.EncodeBatch(items)
			},
			DecodeBatch: platform.DecodeBatch, EncodeRelease: platform.EncodeFree},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
	return s
}

// decide submits an order with one piece and returns the decision.
func (s *stageSite) decide() lead.Decision {
	now, got := time.Now(), make(chan lead.Decision, 1)
	s.Submit(lead.Order{
		Job: sched.Job{ID: "one", Arrived: now, Target: now.Add(4 * time.Second), Deadline: now.Add(8 * time.Second),
			Stages: []sched.Stage{{Pool: "stages", Pieces: 1, ResultBytes: 10}}},
		Engine: place.Order{ID: "one", Pool: "engines", PromptTokens: 100, OutputLimit: 10},
	}, func(d lead.Decision) {
		if !d.Pending {
			got <- d
		}
	})
	return <-got
}

func (s *stageSite) arrivalsAt(name string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.arrivals[name]
}

// A stage call that is scheduled when its zone is evacuated is not sent, and its pieces go to another zone without
// counting as failed.
func TestScheduledCallsDoNotEnterAnEvacuatedZone(t *testing.T) {
	s := startStageSite(t, pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now}),
		func(s *stageSite) { s.table.Store(s.table.Load().WithEvacuated([]string{"a"})) })
	s.c.Check(s.decide().Upstream, qt.Equals, "e")
	s.c.Check(s.arrivalsAt("s1"+platform.StageRunPath), qt.HasLen, 0)
	s.c.Check(s.arrivalsAt("s2"+platform.StageRunPath), qt.HasLen, 1)
}

// A release takes a request of a cold upstream's limit, as a call does. It waits for its turn.
func TestReleasesWaitForColdUpstreams(t *testing.T) {
	limits := pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now})
	limits.LimitCold(pace.Cold[hosts.Lifetime]{Share: func() float64 { return 1 },
		Rate:  func(l hosts.Lifetime) (float64, bool) { return 2, l.ID != "e" },
		Bound: func() (float64, float64) { return 1.5, 1.5 }})
	s := startStageSite(t, limits, func(*stageSite) {})
	s.c.Check(s.decide().Upstream, qt.Equals, "e")
	s.FirstByte("one", false)
	calls := s.arrivalsAt("s1" + platform.StageRunPath)
	s.c.Assert(calls, qt.HasLen, 1)
	var releases []time.Time
	for end := time.Now().Add(3 * time.Second); len(releases) == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		releases = s.arrivalsAt("s1" + platform.StageFreePath)
	}
	s.c.Assert(releases, qt.HasLen, 1)
	s.c.Check(releases[0].Sub(calls[0]) > 300*time.Millisecond, qt.IsTrue, qt.Commentf("%v", releases[0].Sub(calls[0])))
}

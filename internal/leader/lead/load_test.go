package lead_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/platform"
)

// maxSampleAge is the age up to which the sample of the test still makes a call longer.
const maxSampleAge = 100 * time.Millisecond

// The load that an upstream states in the answer to one call must count for the next one: a header that is decoded and
// then dropped on its way to the scheduler changes no other test.
func TestStatedLoadReachesTheNextCall(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		header  string
		percent any // in the line of the second call
		longer  bool
	}{{"1,0,1,400", 400, true}, {"1,0,1", 0, false}, {"1,0,1,many", nil, false}, {"", nil, false}} {
		server := httptest.NewServer(&cloud.Upstream{ID: "u", Intercept: func(w http.ResponseWriter, _ *http.Request, _ int) bool {
			if test.header != "" {
				w.Header().Set("Server-Load", test.header)
			}
			return false
		}})
		defer server.Close()
		core, lines := observer.New(zap.InfoLevel)
		l := startStages(t, server.Listener.Addr().String(), 27e6, zap.New(core))
		for i := range 2 {
			now, id := time.Now(), fmt.Sprint(i)
			got := make(chan lead.Decision, 1)
			l.Submit(lead.Order{
				Job: sched.Job{ID: id, RequestID: id, Arrived: now, Target: now.Add(2 * time.Second), Deadline: now.Add(6 * time.Second),
					PieceKey: "key", Stages: []sched.Stage{{Pool: "p", Pieces: 1, ResultBytes: 100}}},
				Engine: place.Order{ID: id, Pool: "engines", PromptTokens: 100, OutputLimit: 10},
			}, func(d lead.Decision) { got <- d })
			c.Assert((<-got).Upstream, qt.Equals, "e")
		}
		calls := lines.FilterMessage("stage call").All()
		c.Assert(calls, qt.HasLen, 2)
		fields := calls[1].ContextMap()
		c.Check(fields["timePercent"], qt.Equals, test.percent, qt.Commentf("%q", test.header))
		if age, ok := fields["loadAge"].(time.Duration); ok && age > maxSampleAge {
			continue // on a busy machine: the sample has faded
		}
		c.Check(fields["usual"] != nil && fields["expected"].(time.Duration) > fields["usual"].(time.Duration), qt.Equals, test.longer,
			qt.Commentf("%q", test.header))
	}
}

// startStages runs a coordinator with one stage upstream at an address, which has memory for so many bytes of results, and
// one engine.
func startStages(t *testing.T, address string, headroom int64, log *zap.Logger) *lead.Coordinator {
	pools := []rule.Pool{{Name: "engines", Engine: &rule.Engine{Slots: 64, Tokens: 100_000}},
		{Name: "p", Batch: &rule.Batch{Size: 12, Call: 20 * time.Millisecond, Piece: time.Millisecond, Headroom: headroom,
			ResultRetention: 4 * time.Second}}}
	rules := rule.New(1, nil, pools, nil, rule.Limits{})
	table := hosts.New([]hosts.Upstream{{ID: "e", Pool: "engines", Version: "v1", State: hosts.Ready},
		{ID: "u", Pool: "p", Address: address, State: hosts.Ready}}, time.Now())
	m, err := meter.New(meter.Process{Role: "edge"})
	qt.Assert(t, err, qt.IsNil)
	l := lead.New(lead.Options{
		Rules: func() *rule.Rules { return rules }, Hosts: func() *hosts.Table { return table }, Now: time.Now, Log: log,
		Crash: crash.New(crash.Options{Now: time.Now, Leads: func() bool { return true },
			HearsOthers: func() bool { return true }}),
		Limits:  pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now}),
		Origins: newOrigins(t), Client: uphttp.New(platform.ReadAnswer, time.Now, func() {}),
		Notices: notices.New(notices.Options{Now: time.Now, Log: zap.NewNop(), OnLeaving: func() {},
			OnNotice: func(notices.Notice) {}, OnLimit: func(pace.Statement[hosts.Lifetime]) bool { return false }}),
		Stats: stats.New(m, func() stats.Gauges { return stats.Gauges{} }),
		Codec: lead.Codec{
			RunPath: platform.StageRunPath, ReleasePath: platform.StageFreePath, EncodeBatch: platform.EncodeBatch,
			DecodeBatch: platform.DecodeBatch, EncodeRelease: platform.EncodeFree, HeaderFor: platform.StageHeader,
			ReportPath: platform.ReportPath, DecodeFreeBytes: platform.DecodeReport,
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.Run(ctx)
	return l
}

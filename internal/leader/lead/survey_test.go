package lead_test

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

// Operators must see who waits for a full pool, and for whom an order was refused, while it lasts.
func TestAFullPoolIsVisible(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(&cloud.Upstream{ID: "u", Work: 25 * time.Millisecond})
	defer server.Close()
	core, lines := observer.New(zap.InfoLevel)
	l := startStages(t, server.Listener.Addr().String(), 27e6, zap.New(core))
	described, waited := false, false
	for i, end := 0, time.Now().Add(10*time.Second); !(described && waited) && time.Now().Before(end); i++ {
		now, id := time.Now(), fmt.Sprint(i)
		l.Submit(lead.Order{
			Job: sched.Job{ID: id, RequestID: id, Rank: i % 2, Arrived: now, Target: now.Add(time.Second),
				Deadline: now.Add(10 * time.Second), PieceKey: "key", Stages: []sched.Stage{{Pool: "p", Pieces: 3, ResultBytes: 100}}},
			Engine: place.Order{ID: id, Pool: "engines", PromptTokens: 100, OutputLimit: 10},
		}, func(lead.Decision) {})
		time.Sleep(time.Millisecond)
		for _, line := range lines.FilterMessage("refused").TakeAll() {
			pool := line.ContextMap()["pools"].([]any)[0].(map[string]any)
			running := pool["running"].(map[int]int)
			described = described || (pool["pool"] == "p" && running[0]+running[1] > 0 && len(pool["holders"].([]string)) > 0)
		}
		for _, p := range l.Occupancy().Pools {
			waited = waited || (p.Waiting[0] > 0 && p.Waiting[1] > 0 && p.Upstreams["busy"] == 1)
		}
	}
	c.Check(described, qt.IsTrue)
	c.Check(waited, qt.IsTrue)
	c.Check(len(l.Occupancy().Engines), qt.Not(qt.Equals), 0)
}

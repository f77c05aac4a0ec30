package link

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// TestWatchesAtTargetStayWithinBudget computes what heartbeats cost an entry and a sidecar at the target size: at most
// half of 6 KB a second, as gossip has the other half.
func TestWatchesAtTargetStayWithinBudget(t *testing.T) {
	const (
		pools, subset     = 6, 20
		entries, sidecars = 360, 660
		frame             = 210  // bytes around a message: HTTP/2, TCP and IP
		budget            = 3072 // bytes a second
	)
	c := qt.New(t)
	status := &sidepb.Status{
		Upstream: "north-b-engine-0417", Pool: "engines", Zone: "north-b", State: "live",
		Incarnation: strings.Repeat("i", 36), Offset: 1 << 20, Digest: strings.Repeat("d", 16), UpstreamHealthy: true,
		Models: []string{"atlas", "atlas@2026-11"},
		Load: &sidepb.Load{Running: 40, Queued: 3, Limit: 44, LatencyMs: 18.25, AgeMs: 4000, Revision: 1 << 20,
			ShortWaitMs: 120, LongWaitMs: 900},
	}
	beat := float64(proto.Size(status)+frame) / timing.HeartbeatInterval.Seconds()
	entry := beat * pools * subset
	sidecar := entry * entries / sidecars
	t.Logf("status %d B, entry %.0f B/s, side %.0f B/s, silent watch noticed after %s",
		proto.Size(status), entry, sidecar, timing.HeartbeatInterval+timing.HeartbeatInterval/2)
	c.Check(entry <= budget, qt.IsTrue)
	c.Check(sidecar <= budget, qt.IsTrue)
	c.Check(timing.SuspectAfter > timing.HeartbeatInterval*2, qt.IsTrue)
	c.Check(timing.MaxLeavingTime, qt.Equals, 3*time.Second)
}

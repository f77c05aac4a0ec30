package node_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

// coldRate is in requests per second, and mostCold what an upstream bears in any second by the default settings.
const (
	coldRate = 5
	mostCold = 3*coldRate/2 + 5
)

// A cold upstream gets no more than it bears from all entries together, also while another entry begins to lead, and
// others take the work.
func TestColdUpstreamsGetFewRequests(t *testing.T) {
	for _, test := range []struct{ pool, target string }{{"engines", "/once/x"}, {"plain", "/act/x"}} {
		t.Run(test.pool, func(t *testing.T) {
			t.Parallel()
			p := &limitedPool{testbed: newTestbed(t), target: test.target}
			p.configure(fmt.Sprintf(`{"name": %q, `, test.pool),
				fmt.Sprintf(`{"name": %q, "cold_start_s": 12, "cold_per_s": %d, `, test.pool, coldRate))
			events := 0
			if test.pool == "engines" {
				events = 2
			}
			for _, id := range []string{"cold", "warm-0", "warm-1"} {
				p.startUpstream(test.pool, &cloud.Upstream{ID: id, Events: events, Work: upstreamWork})
				if id != "cold" {
					p.store.PutWarm(id, test.pool, p.addresses[id])
				}
			}
			for i := range 3 {
				p.startEntry(fmt.Sprintf("entry-%d", i))
			}
			for _, e := range p.entries {
				p.waitReady(e, http.StatusOK)
			}
			p.load("a", 3*time.Second, p.entries...)
			p.entries[0].kill() // the oldest entry leads
			p.load("b", 4*time.Second, p.entries[1:]...)
			most := 0
			arrivals := p.upstreams["cold"].Arrivals()
			for i := range arrivals {
				n := i
				for n < len(arrivals) && arrivals[n].At.Sub(arrivals[i].At) < time.Second {
					n++
				}
				most = max(most, n-i)
			}
			p.c.Check(most <= mostCold, qt.IsTrue, qt.Commentf("%d requests in a second", most))
			p.c.Check(len(arrivals) >= 2*coldRate, qt.IsTrue, qt.Commentf("%d requests", len(arrivals)))
			p.c.Check(p.served.Load() > 10*int64(len(arrivals)), qt.IsTrue, qt.Commentf("%d served", p.served.Load()))
		})
	}
}

package balance_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/balance"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

// What was measured of an upstream ends with its lifetime, also if calls of that lifetime fail later.
func TestRestartedUpstreamsAreMeasuredAnew(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	p := balance.New(func() time.Time { return now })
	near := hosts.Upstream{ID: "near", Pool: "p", Zone: "z0", State: hosts.Ready, StartedMs: 1}
	far := hosts.Upstream{ID: "far", Pool: "p", Zone: "z1", State: hosts.Ready, StartedMs: 1}
	pick := func() hosts.Upstream {
		u, ok := p.Pick([]hosts.Upstream{near, far}, "z0", nil, false)
		c.Assert(ok, qt.IsTrue)
		return u
	}
	before := near.Lifetime()
	for range 2 {
		c.Assert(pick().ID, qt.Equals, "near")
		p.Failed(before)
	}
	c.Assert(pick().ID, qt.Equals, "far", qt.Commentf("near is ejected"))
	near.StartedMs = 2
	p.Forget(hosts.New([]hosts.Upstream{near, far}, now))
	p.Failed(before)
	c.Check(pick().ID, qt.Equals, "near")
}

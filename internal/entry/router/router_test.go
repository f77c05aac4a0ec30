package router_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/router"
	"github.com/ragworthatch/ragworthatch/internal/entry/target"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// links has connections to some upstreams and counts calls of Client.
type links struct {
	connected map[string]bool
	lookups   int
}

func (l *links) Client(name string) (sidepb.SideClient, bool) {
	l.lookups++
	return nil, l.connected[name]
}

func (l *links) Suspect(string)         {}
func (l *links) Leaving(string, string) {}

// TestChoicesAreAmongConnectedUpstreams guards against trying unconnected upstreams one by one: an entry is connected
// to few of the upstreams of a large pool, here 20 of 660.
func TestChoicesAreAmongConnectedUpstreams(t *testing.T) {
	c := qt.New(t)
	view := member.View{Pools: map[string][]member.Upstream{}}
	conns := &links{connected: map[string]bool{}}
	for i := range 660 {
		var u member.Upstream
		u.Name, u.Zone, u.State = fmt.Sprintf("runner-%d", i), fmt.Sprintf("zone-%d", i%8), member.Live
		view.Pools["generate"] = append(view.Pools["generate"], u)
		if i%33 == 0 {
			conns.connected[u.Name] = true
		}
	}
	r := router.New(router.Options{
		Zone: "zone-0", Links: conns, Rand: rand.New(rand.NewPCG(1, 1)), Log: zap.NewNop(),
		Now: func() time.Time { return time.Unix(0, 0) },
	})
	r.Update(view, preset.Spec{})
	conns.lookups = 0
	for range 200 {
		got, err := r.Route(target.Query{Pool: "generate"})
		c.Assert(err, qt.IsNil)
		c.Assert(conns.connected[got.Name], qt.IsTrue)
	}
	c.Check(conns.lookups, qt.Equals, 200, qt.Commentf("each first choice is connected"))
}

// TestVersionsOfWeights checks that an attempt which needs a version of the weights gets no upstream with another one.
func TestVersionsOfWeights(t *testing.T) {
	c := qt.New(t)
	view := member.View{Pools: map[string][]member.Upstream{}}
	conns := &links{connected: map[string]bool{}}
	for i := range 12 {
		var u member.Upstream
		u.Name, u.Zone, u.State = fmt.Sprintf("runner-%d", i), "zone-0", member.Live
		u.Models = []string{"m", fmt.Sprint("m@", i%3), "m+a"}
		view.Pools["generate"] = append(view.Pools["generate"], u)
		conns.connected[u.Name] = true
	}
	r := router.New(router.Options{
		Zone: "zone-0", Links: conns, Rand: rand.New(rand.NewPCG(1, 1)), Log: zap.NewNop(),
		Now: func() time.Time { return time.Unix(0, 0) },
	})
	r.Update(view, preset.Spec{})
	for _, model := range []string{"m", "m+a", ""} {
		for range 50 {
			got, err := r.Route(target.Query{Pool: "generate", Model: model, Version: "1"})
			c.Assert(err, qt.IsNil)
			c.Assert(got.Version, qt.Equals, "1")
		}
	}
	_, err := r.Route(target.Query{Pool: "generate", Model: "m", Version: "9"})
	c.Check(err, qt.IsNotNil)
}

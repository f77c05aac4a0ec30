package agent

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/place/lease"
	"github.com/ragworthatch/ragworthatch/internal/place/plan"
)

// oneRunnerSource is a Source for one runner and a model that requires one; the configuration revision is 7.
func oneRunnerSource(stream *lease.State) (plan.Input, int64) {
	return plan.Input{
		Runners: []plan.Runner{{Name: "r1", Zone: "z", Live: true, Models: []string{"m"},
			Target: stream.Plan().Targets["r1"], Loaded: true}},
		Requirements: []plan.Requirement{{Model: "m", Runners: 1}}, MaxLoads: 1,
	}, 7
}

func TestOnePlannerIsActiveAndAnotherTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := memlog.New()
		start := func(name string) (*lease.Holder, context.CancelFunc) {
			h := lease.NewHolder(name, log, time.Now, zap.NewNop())
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = New(h, oneRunnerSource, time.Now, zap.NewNop()).Run(ctx) }()
			time.Sleep(time.Second)
			return h, cancel
		}
		_, stop := start("one")
		reader := lease.NewReader(log, time.Now)
		c.Assert(reader.Read(t.Context()), qt.IsNil)
		c.Assert(reader.State().Plan().Targets["r1"].Model, qt.Equals, "m")
		c.Assert(reader.State().Plan().Revision, qt.Equals, int64(7))
		_, stopOther := start("two")
		time.Sleep(time.Hour)
		c.Assert(reader.Read(t.Context()), qt.IsNil)
		c.Assert(reader.State().Grant().Holder, qt.Equals, "one")
		stop()
		time.Sleep(lease.Duration + 2*StandbyInterval)
		c.Assert(reader.Read(t.Context()), qt.IsNil)
		c.Assert(reader.State().Grant().Holder, qt.Equals, "two")

		// A process that reads only the end of the stream finds the plan there.
		time.Sleep(12 * time.Hour)
		late := lease.NewReader(log, time.Now)
		c.Assert(late.Read(t.Context()), qt.IsNil)
		c.Assert(late.State().Plan().Targets["r1"].Model, qt.Equals, "m")

		offset := late.State().Plan().Offset
		log.SetDown(true)
		time.Sleep(time.Hour)
		log.SetDown(false)
		time.Sleep(time.Minute)
		c.Assert(late.Read(t.Context()), qt.IsNil)
		c.Assert(late.State().Plan().Offset >= offset, qt.IsTrue)
		c.Assert(late.State().Grant().Holder, qt.Equals, "two")
		stopOther()
		synctest.Wait()
	})
}

func TestInputTakesReportedRunnersOnly(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	var list []host.Host
	for _, name := range []string{"r1", "r2", "r3", "r4"} {
		list = append(list, host.Host{Name: name, Address: name, Zone: "z", Pool: "engines", State: host.Live})
	}
	list[2].State = host.Leaving
	view := member.New(member.Options{}).WithList(now, list).View(now)
	stream := lease.New(0)
	for _, r := range []lease.Record{
		{Kind: lease.KindClaim, Holder: "e", After: -1},
		{Kind: lease.KindOwner, Upstream: "r1", Incarnation: "i"},
		{Kind: lease.KindReport, Upstream: "r1", Incarnation: "i", OwnerOffset: 1,
			Holds: &lease.Target{Model: "a", Version: "1"}},
		{Kind: lease.KindOwner, Upstream: "r2", Incarnation: "i"},
		{Kind: lease.KindReport, Upstream: "r2", Incarnation: "i", OwnerOffset: 3, Holds: &lease.Target{Model: "a"}},
		{Kind: lease.KindOwner, Upstream: "r3", Incarnation: "i"},
		{Kind: lease.KindReport, Upstream: "r3", Incarnation: "i", OwnerOffset: 5, Holds: &lease.Target{Model: "a"}},
		{Kind: lease.KindOwner, Upstream: "r4", Incarnation: "i"},
		{Kind: lease.KindPlan, Holder: "e", Lease: 0, Targets: map[string]lease.Target{"r2": {Model: "b"}}},
	} {
		data, err := lease.Encode(r)
		c.Assert(err, qt.IsNil)
		next, took := stream.Apply(data)
		c.Assert(took, qt.IsTrue, qt.Commentf("%+v", r))
		stream = next
	}
	set := config.Set{}.WithPool(pool.Spec{Name: "engines", Kind: pool.Engine, Models: []string{"a", "b"}}).
		WithPreset(preset.Spec{Name: "day", Runners: map[string]int{"a": 2}}).WithInForce("day")
	in := NewInput(view, set, stream, 3)
	c.Assert(in.Requirements, qt.DeepEquals, []plan.Requirement{{Model: "a", Runners: 2}})
	c.Assert(in.Runners, qt.HasLen, 3)
	c.Assert(in.Runners[0].Loaded, qt.IsTrue)
	c.Assert(in.Runners[1].Target.Model, qt.Equals, "b")
	c.Assert(in.Runners[1].Loaded, qt.IsFalse)
	c.Assert(in.Runners[2].Live, qt.IsFalse)
}

func TestBrieflyAbsentRunnerIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := memlog.New()
		h := lease.NewHolder("one", log, time.Now, zap.NewNop())
		away := false
		var moves int
		fleet := func(stream *lease.State) (plan.Input, int64) {
			in := plan.Input{Requirements: []plan.Requirement{{Model: "m", Runners: 1}, {Model: "n"}}, MaxLoads: 4}
			for _, name := range []string{"r1", "r2"} {
				r := plan.Runner{Name: name, Zone: "z", Live: name != "r1" || !away, Models: []string{"m", "n"}, Loaded: true}
				r.Target = lease.Target{Model: map[string]string{"r1": "m", "r2": "n"}[name]}
				if t, ok := stream.Plan().Targets[name]; ok {
					r.Target = t
				}
				in.Runners = append(in.Runners, r)
			}
			return in, 1
		}
		a := New(h, fleet, time.Now, zap.NewNop())
		step := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(planInterval) {
				a.Step(t.Context())
			}
			moves = 0
			if p := h.State().Plan(); p.Offset >= 0 && p.Targets["r2"].Model == "m" {
				moves = 1
			}
		}
		step(time.Minute)
		away = true
		step(absenceGrace - planInterval)
		c.Assert(moves, qt.Equals, 0)
		step(time.Minute)
		c.Assert(moves, qt.Equals, 1)
	})
}

// weightStore is a fake that answers each lookup with size and err.
type weightStore struct {
	size    int64
	err     error
	lookups int
}

func (s *weightStore) Size(context.Context, string) (int64, error) {
	s.lookups++
	return s.size, s.err
}

func (s *weightStore) BytesPerSecond() int64 { return 1000 }

func TestConcurrentLoadsDependOnTheWeightStore(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_800_000_000, 0)
	s := &weightStore{size: 40_000}
	w := NewLoadLimit(s, func() time.Time { return now })
	models := map[string]int{"m": 1}
	for range 5 {
		c.Assert(w.Max(t.Context(), models), qt.Equals, 3)
	}
	c.Assert(s.lookups, qt.Equals, 1)
	now = now.Add(sizesTTL)
	s.err = errors.New("down")
	c.Assert(w.Max(t.Context(), models), qt.Equals, 1)
}

package pick_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/route/gauge"
	"github.com/ragworthatch/ragworthatch/internal/route/pick"
	"github.com/ragworthatch/ragworthatch/internal/route/spill"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

// upstreams returns idle upstreams, spread over three zones.
func upstreams(n int) []pick.Upstream {
	out := make([]pick.Upstream, n)
	for i := range out {
		out[i] = pick.Upstream{
			Name:   fmt.Sprintf("runner-%d", i),
			Zone:   fmt.Sprintf("zone-%d", i%3),
			Models: []string{"small", "large"},
			Gauge:  &gauge.Gauge{},
		}
		out[i].Gauge.Observe(gauge.Report{Limit: 16, At: start})
	}
	return out
}

// holders is an Affinity with fixed holders of each prefix.
type holders map[string][]string

func (h holders) Holders(prefix string) []string { return h[prefix] }

func newPicker(o pick.Options) *pick.Picker {
	return pick.New(rand.New(rand.NewPCG(1, 2)), o)
}

// counts returns how often each upstream is chosen in n calls.
func counts(t *testing.T, p *pick.Picker, q pick.Query, set *pick.Set, n int) map[string]int {
	got := map[string]int{}
	for range n {
		choice, ok := p.Choose(q, set, start)
		qt.Assert(t, ok, qt.IsTrue)
		got[choice.Name]++
	}
	return got
}

func TestChooseAllocatesNothing(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{12, 660} {
		set := pick.NewSet(upstreams(n))
		p := newPicker(pick.Options{Spill: spill.New(0.5), Affinity: holders{"p": {"runner-3"}}})
		q := pick.Query{Zone: "zone-0", Model: "large", Prefix: "p", Avoid: []string{"runner-6"}}
		allocs := testing.AllocsPerRun(100, func() { p.Choose(q, set, start) })
		c.Check(allocs, qt.Equals, 0.0)
		choice, _ := p.Choose(q, set, start)
		c.Check(choice.Candidates <= 4, qt.IsTrue)
	}
}

func TestChooseExcludes(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(u *pick.Upstream)
		query  pick.Query
	}{
		{"out", func(u *pick.Upstream) { u.Excluded = true }, pick.Query{}},
		{"avoided", func(*pick.Upstream) {}, pick.Query{Avoid: []string{"runner-0"}}},
		{"model not loaded", func(u *pick.Upstream) { u.Models = []string{"small"} }, pick.Query{Model: "large"}},
		{"other zone", func(u *pick.Upstream) { u.Zone = "far" }, pick.Query{Zone: "zone-0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			all := upstreams(9)
			test.change(&all[0])
			got := counts(t, newPicker(pick.Options{}), test.query, pick.NewSet(all), 300)
			qt.Check(t, got["runner-0"], qt.Equals, 0)
		})
	}
}

func TestChooseTakesAvoidedWhenNothingElseIsLeft(t *testing.T) {
	all := upstreams(1)
	choice, ok := newPicker(pick.Options{}).Choose(pick.Query{Avoid: []string{"runner-0"}}, pick.NewSet(all), start)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, choice.Reason, qt.Equals, pick.FullSearch)
	all[0].Excluded = true
	_, ok = newPicker(pick.Options{}).Choose(pick.Query{}, pick.NewSet(all), start)
	qt.Check(t, ok, qt.IsFalse)
}

func TestSlowAndNewUpstreamsGetLess(t *testing.T) {
	all := upstreams(9)
	for range 8 {
		all[0].Gauge.Begin()
		all[0].Gauge.End(time.Second, 100*time.Millisecond, start)
	}
	all[1].SlowStartFrom = start
	got := counts(t, newPicker(pick.Options{}), pick.Query{}, pick.NewSet(all), 900)
	qt.Check(t, got["runner-0"] < 50, qt.IsTrue)
	qt.Check(t, got["runner-1"] < 50, qt.IsTrue)
}

func TestAffinityHoldsUnderItsBound(t *testing.T) {
	c := qt.New(t)
	all := upstreams(9)
	set := pick.NewSet(all)
	p := newPicker(pick.Options{Affinity: holders{"p": {"runner-4"}}})
	got := counts(t, p, pick.Query{Prefix: "p"}, set, 20)
	c.Check(got["runner-4"], qt.Equals, 20)
	for range 17 {
		all[4].Gauge.Begin()
	}
	got = counts(t, p, pick.Query{Prefix: "p"}, set, 20)
	c.Check(got["runner-4"], qt.Equals, 0)
	got = counts(t, p, pick.Query{Prefix: "unknown"}, set, 20)
	c.Check(got, qt.HasLen, 1)
}

func TestSpillKeepsItsCap(t *testing.T) {
	all := upstreams(9)
	for i := range all {
		if all[i].Zone == "zone-0" {
			all[i].Gauge.Observe(gauge.Report{Running: 40, Limit: 16, At: start.Add(time.Millisecond)})
		}
	}
	p := newPicker(pick.Options{Spill: spill.New(0.2)})
	spilled := 0
	for range 1000 {
		choice, _ := p.Choose(pick.Query{Zone: "zone-0"}, pick.NewSet(all), start)
		if choice.Reason == pick.Spilled {
			spilled++
		}
	}
	qt.Check(t, spilled > 150 && spilled <= 210, qt.IsTrue, qt.Commentf("%d left their zone", spilled))
}

package place_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
)

// versions returns a table of engines, one for each version given.
func versions(all ...string) *hosts.Table {
	var out []hosts.Upstream
	for i, version := range all {
		out = append(out, hosts.Upstream{ID: fmt.Sprint("e", i), Pool: "p", Zone: "z0", Version: version, State: hosts.Ready})
	}
	return hosts.New(out, start)
}

// Streams that go on are many, and only one engine has their version; the others take the new ones.
func TestStreamsThatGoOnGetTheirVersion(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	table := versions("v1", "v2", "v2")
	old := table.Ready("p")[0]
	p.EngineFailed(old, "", start)
	p.EngineFailed(old, "", start) // ejected, and still the only one
	placed := map[string]int{}
	for i := range 40 {
		o := order(fmt.Sprint("again", i), "s", 2000)
		o.Version, o.Exclude = "v1", []string{"e0"}
		u, ok := p.Pick(o, table, spec, start)
		c.Assert(ok, qt.IsTrue)
		c.Check(u.Version, qt.Equals, "v1")
		u, _ = p.Pick(order(fmt.Sprint("new", i), fmt.Sprint("t", i), 2000), table, spec, start)
		placed[u.Version]++
	}
	c.Check(placed["v1"], qt.Equals, 0, qt.Commentf("new requests go elsewhere"))
	o := order("gone", "s", 2000)
	o.Version = "v9"
	_, ok := p.Pick(o, table, spec, start)
	c.Check(ok, qt.IsFalse)
	_, paused := p.PauseLeft(o, table, start)
	c.Check(paused, qt.IsFalse)
}

// New streams need a record at v2. While that takes long they begin at v1, until its engine is loaded.
func TestSlowRecordsMoveNewStreamsToTheBase(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		record time.Duration
		atBase int // at least, of ten streams
	}{{0, 4}, {time.Second, 9}} {
		p := place.New(noLimits(), noBudget())
		atBase := 0
		for i := range 10 {
			o := order(fmt.Sprint(i), fmt.Sprint("s", i), 2000)
			o.Base, o.RecordTime = "v1", test.record
			if u, _ := p.Pick(o, versions("v1", "v2"), spec, start); u.Version == "v1" {
				atBase++
			}
		}
		c.Check(atBase >= test.atBase, qt.IsTrue, qt.Commentf("%d of 10 with records of %v", atBase, test.record))
	}
}

// Records can't be written, and 100 streams want to begin at the only engine of the base: those that it does not begin
// in time are refused, not queued.
func TestTheBaseTakesWhatItBeginsInTime(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	taken := 0
	for i := range 100 {
		o := order(fmt.Sprint(i), fmt.Sprint("s", i), 4500)
		o.Prefix = nil
		o.Version, o.InTime, o.Within = "v1", true, time.Second
		if _, ok := p.Pick(o, versions("v1", "v2"), spec, start); ok {
			taken++
		}
	}
	c.Check(taken, qt.Equals, 9) // 45 tokens per ms, 100 ms each
}

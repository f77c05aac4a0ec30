package sched_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

// zonesTable returns the upstreams of twoPools with evacuated zones.
func zonesTable(evacuated ...string) *hosts.Table {
	var all []hosts.Upstream
	for _, pool := range []string{"a", "b"} {
		for i, zone := range []string{"zone-0", "zone-1"} {
			all = append(all, hosts.Upstream{ID: pool + "-" + string(rune('0'+i)), Pool: pool, Zone: zone, State: hosts.Ready})
		}
	}
	return hosts.New(all, start).WithEvacuated(evacuated)
}

// Work that waits, or whose zone is evacuated while its results are there, goes on in the other zone, which reads the
// results, also under a scheduler that begins after the evacuation.
func TestWorkGoesOnOutsideAnEvacuatedZone(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	s.Submit(chain("one", 1_500_000), start)
	first := s.Schedule(start).Batches[0]
	c.Assert(first.Upstream.ID, qt.Equals, "a-0")
	s.SetUpstreams(zonesTable("zone-0"))
	s.CallFinished(first.ID, results("h1"), atMs(210))
	out := s.Schedule(atMs(210))
	c.Assert(out.Refusals, qt.HasLen, 0)
	c.Assert(out.Batches, qt.HasLen, 1)
	c.Check(out.Batches[0].Upstream.ID, qt.Equals, "b-1")
	c.Check(out.Batches[0].Items[0].Inputs, qt.DeepEquals, []string{"h1"})

	next := sched.New(noLimits())
	next.SetPool("a", spec)
	next.SetPool("b", spec)
	next.SetUpstreams(zonesTable("zone-0"))
	job := chain("one", 1_500_000)
	job.Progress = out.Checkpoints[0].Stages
	next.Submit(job, atMs(220))
	resumed := next.Schedule(atMs(220)).Batches
	c.Assert(resumed, qt.HasLen, 1)
	c.Check(resumed[0].Upstream.ID, qt.Equals, "b-1")
	c.Check(resumed[0].Items[0].Inputs, qt.DeepEquals, []string{"h1"}, qt.Commentf("stage a does not run again"))
}

// Jobs that can't go on, as all zones are evacuated, are refused at once; a call that runs ends as usual.
func TestJobsAreRefusedWhenNoZoneIsLeft(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	s.Submit(chain1("last", 1000), start)
	running := s.Schedule(start).Batches[0]
	for _, id := range []string{"two", "three"} {
		s.Submit(chain(id, 1000), start)
	}
	s.Schedule(start)
	s.SetUpstreams(zonesTable("zone-0", "zone-1"))
	out := s.Schedule(atMs(10))
	c.Assert(out.Refusals, qt.HasLen, 2)
	for _, r := range out.Refusals {
		c.Check(r.Reason, qt.Equals, sched.NoUpstreams)
		c.Check(r.RetryAfter > 0 && r.RetryAfter < 2*time.Second, qt.IsTrue, qt.Commentf("%v", r.RetryAfter))
	}
	s.CallFinished(running.ID, results("h1"), atMs(210))
	c.Check(s.Schedule(atMs(210)).Grants, qt.HasLen, 1)
}

package sched_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

var spec = rule.Batch{
	Size: 12, Call: 200 * time.Millisecond, Piece: 10 * time.Millisecond,
	Headroom: 20_000_000, ResultRetention: 4 * time.Second,
}

// twoPools returns a scheduler with upstreams a-0 and a-1 of pool a, and b-0 and b-1 of pool b, in two zones.
func twoPools() *sched.Scheduler {
	s := sched.New(noLimits())
	var all []hosts.Upstream
	for _, pool := range []string{"a", "b"} {
		s.SetPool(pool, spec)
		for i, zone := range []string{"zone-0", "zone-1"} {
			all = append(all, hosts.Upstream{ID: pool + "-" + string(rune('0'+i)), Pool: pool, Zone: zone, State: hosts.Ready})
		}
	}
	s.SetUpstreams(hosts.New(all, start))
	return s
}

// chain returns a job with one piece in pool a, whose result of the given size is read by one piece in pool b.
func chain(id string, bytes int64) sched.Job {
	return sched.Job{
		ID: id, RequestID: id, Arrived: start,
		Target: start.Add(2 * time.Second), Deadline: start.Add(6 * time.Second), PieceKey: "key",
		Stages: []sched.Stage{
			{Pool: "a", Pieces: 1, ResultBytes: bytes},
			{Pool: "b", After: []int{0}, Pieces: 1, ResultBytes: 1000},
		},
	}
}

// results returns a result for each handle.
func results(handles ...string) []call.Result {
	out := make([]call.Result, len(handles))
	for i, h := range handles {
		out[i] = call.Result{Handle: h}
	}
	return out
}

// atMs returns the time ms milliseconds after start.
func atMs(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestChainStaysInTheZoneOfLargeResults(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	s.Submit(chain("one", 1_500_000), start)
	first := s.Schedule(start).Batches
	c.Assert(first, qt.HasLen, 1)
	s.CallFinished(first[0].ID, results("h1"), atMs(210))
	second := s.Schedule(atMs(210)).Batches
	c.Assert(second, qt.HasLen, 1)
	c.Check(second[0].Upstream.Zone, qt.Equals, first[0].Upstream.Zone)
	c.Check(second[0].Items[0].Inputs, qt.DeepEquals, []string{"h1"})
	c.Check(second[0].Items[0].Key, qt.Equals, "", qt.Commentf("only items of first stages carry the key"))
}

func TestLargeResultsAreProducedInTheZoneThatReadsThem(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	submit := func(id, zone string, bytes int64, now time.Time) []sched.Batch {
		job := chain1(id, bytes)
		job.Zone = zone
		s.Submit(job, now)
		return s.Schedule(now).Batches
	}
	for _, test := range []struct {
		id, zone string
		bytes    int64
		ms       int
		want     string // upstream of the call; empty if the job waits
	}{
		{"one", "zone-1", 1_500_000, 0, "a-1"},
		{"two", "zone-1", 1_500_000, 10, ""},
		{"small", "zone-1", 1000, 20, "a-0"},
	} {
		got := submit(test.id, test.zone, test.bytes, atMs(test.ms))
		if test.want == "" {
			c.Check(got, qt.HasLen, 0, qt.Commentf("%s", test.id))
			continue
		}
		c.Assert(got, qt.HasLen, 1, qt.Commentf("%s", test.id))
		c.Check(got[0].Upstream.ID, qt.Equals, test.want, qt.Commentf("%s", test.id))
	}
	s.CallFinished(2, results("h2"), atMs(170))
	late := s.Schedule(atMs(170)).Batches
	c.Assert(late, qt.HasLen, 1, qt.Commentf("a job does not wait for its zone for long"))
	c.Check(late[0].Upstream.ID, qt.Equals, "a-0")
}

func TestOvertakenCallDoesNotRestartItsJob(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	s.Submit(chain("one", 1000), start)
	first := s.Schedule(start).Batches[0]
	s.CallFinished(first.ID, results("h1"), atMs(210))
	slow := s.Schedule(atMs(210)).Batches[0]
	hedge := s.Schedule(atMs(700)).Batches
	c.Assert(hedge, qt.HasLen, 1, qt.Commentf("a call that takes too long is hedged on another upstream"))
	c.Check(hedge[0].Upstream.ID, qt.Not(qt.Equals), slow.Upstream.ID)
	s.CallFinished(hedge[0].ID, results("h2"), atMs(910))
	out := s.Schedule(atMs(910))
	c.Assert(out.Grants, qt.HasLen, 1)
	c.Check(out.Grants[0].Inputs, qt.DeepEquals, []string{"h2"})
	s.CallFinished(slow.ID, []call.Result{{Failure: call.FailedInputGone}}, atMs(950))
	out = s.Schedule(atMs(950))
	c.Check(out.Batches, qt.HasLen, 0)
	c.Check(out.Releases, qt.HasLen, 0, qt.Commentf("results are kept until the request has read them"))
	s.Release("one")
	c.Check(s.Schedule(atMs(960)).Releases, qt.HasLen, 1)
}

func TestLostInputsRestartTheStages(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	s.Submit(chain("one", 1000), start)
	s.CallFinished(s.Schedule(start).Batches[0].ID, results("h1"), atMs(210))
	second := s.Schedule(atMs(210)).Batches[0]
	s.CallFinished(second.ID, []call.Result{{Failure: call.FailedInputGone}}, atMs(420))
	again := s.Schedule(atMs(420)).Batches
	c.Assert(again, qt.HasLen, 1)
	c.Check(again[0].Upstream.Pool, qt.Equals, "a")
}

func TestPiecesOfFailedCallsGoToAnotherUpstream(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	s.Submit(chain("one", 1000), start)
	first := s.Schedule(start).Batches[0]
	s.CallFailed(first.ID, false, atMs(10))
	again := s.Schedule(atMs(10)).Batches
	c.Assert(again, qt.HasLen, 1)
	c.Check(again[0].Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
}

func TestResultMemoryLimitsTheBatchSize(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		s.Submit(chain(id, 9_000_000), start)
	}
	out := s.Schedule(start).Batches
	c.Assert(out, qt.HasLen, 2)
	for _, batch := range out {
		c.Check(batch.Items, qt.HasLen, 2, qt.Commentf("two results of 9 MB fit into 20 MB"))
	}
}

func TestUntrackedResultsCountAsUsedMemory(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	s.Submit(chain("1", 9_000_000), start)
	probes := s.Schedule(start).Probes
	c.Assert(len(probes) > 0, qt.IsTrue, qt.Commentf("a new leader asks what others have left behind"))
	s.SetFreeMemory(hosts.Lifetime{ID: "a-0"}, 1_000_000, start)
	s.SetFreeMemory(hosts.Lifetime{ID: "a-1"}, 1_000_000, start)
	s.Submit(chain("2", 9_000_000), atMs(10))
	c.Check(s.Schedule(atMs(10)).Batches, qt.HasLen, 0)
}

// Upstreams report their free memory in whole MB, rounded down. Normally up to 1 MB more counts as free, but right
// after a piece found no memory the report is taken literally: a report of 0 leaves nothing to plan with.
func TestMemoryReportsAreTakenLiterallyAfterALackOfMemory(t *testing.T) {
	c := qt.New(t)
	small := spec
	small.Headroom = 4_200_000
	s := sched.New(noLimits())
	s.SetPool("a", small)
	s.SetUpstreams(hosts.New([]hosts.Upstream{{ID: "a-0", Pool: "a", State: hosts.Ready}}, start))
	s.Submit(chain1("one", 60_000), start)
	first := s.Schedule(start).Batches
	c.Assert(first, qt.HasLen, 1)
	s.CallFinished(first[0].ID, []call.Result{{Failure: call.FailedNoMemory}}, atMs(210))
	s.SetFreeMemory(hosts.Lifetime{ID: "a-0"}, 0, atMs(220))
	c.Check(s.Schedule(atMs(400)).Batches, qt.HasLen, 0)
	s.SetFreeMemory(hosts.Lifetime{ID: "a-0"}, 1_000_000, atMs(900))
	c.Check(s.Schedule(atMs(900)).Batches, qt.HasLen, 1)
}

// After a late job has expired waiting, other late jobs for the same pools are refused at once, with a Retry-After that
// grows with the duration of the overload.
func TestOverloadRefusesLateJobsAtOnce(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	late := func(id string, now time.Time, pools ...string) sched.Job {
		job := sched.Job{ID: id, RequestID: id, Arrived: now,
			Target: now.Add(100 * time.Millisecond), Deadline: now.Add(6 * time.Second)}
		for _, p := range pools {
			job.Stages = append(job.Stages, sched.Stage{Pool: p, Pieces: 1, ResultBytes: 1000})
		}
		return job
	}
	for i := range 24 { // keeps both upstreams of pool a busy, with more urgent work queued
		s.Submit(chain1(fmt.Sprint("busy", i), 1_000_000), start)
	}
	s.Schedule(start)
	refusalsAt := func(ms int) map[string]time.Duration {
		out := map[string]time.Duration{}
		for _, r := range s.Schedule(atMs(ms)).Refusals {
			out[r.Job] = r.RetryAfter
		}
		return out
	}
	s.Submit(late("first", atMs(10), "a"), atMs(10))
	c.Check(refusalsAt(20), qt.HasLen, 0, qt.Commentf("an upstream may still become free"))
	c.Check(refusalsAt(600)["first"] > 0, qt.IsTrue)
	s.Submit(late("second", atMs(700), "a"), atMs(700))
	c.Check(refusalsAt(700)["second"] > 0, qt.IsTrue, qt.Commentf("another job of its kind waited until it was refused"))
	s.Submit(late("both", atMs(710), "a", "b"), atMs(710))
	c.Check(refusalsAt(710)["both"] > 0, qt.IsTrue, qt.Commentf("it needs the overloaded pool too"))
	s.Submit(late("other", atMs(720), "b"), atMs(720))
	c.Check(refusalsAt(720), qt.HasLen, 0, qt.Commentf("the other pool is free"))
	becomesLate := late("becomes late", atMs(730), "a")
	becomesLate.Target, becomesLate.Deadline = atMs(1430), atMs(20_000)
	s.Submit(becomesLate, atMs(730))
	c.Check(refusalsAt(730), qt.HasLen, 0, qt.Commentf("it can still meet its target"))
	refusalsAt(1180)
	c.Check(refusalsAt(1200)["becomes late"] > 0, qt.IsTrue, qt.Commentf("it can no longer meet its target"))
	s.Submit(late("probe", atMs(1700), "a"), atMs(1700))
	c.Check(refusalsAt(1700)["probe"], qt.Equals, time.Duration(0),
		qt.Commentf("one job a second finds out whether the overload goes on"))
	c.Check(refusalsAt(2300)["probe"] > 0, qt.IsTrue)
	s.Submit(late("third", atMs(3200), "a"), atMs(3200))
	got := refusalsAt(3200)["third"]
	c.Check(got > time.Second && got <= 2*time.Second, qt.IsTrue,
		qt.Commentf("got %v, want the length of the overload, at most a third of the time to the deadline", got))
}

func TestLastStepsAreSplitWhenTheirPoolIsBackedUp(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		jobs, want int // pieces in the first call
	}{{2, 10}, {8, 12}} {
		s := twoPools()
		for i := range test.jobs {
			job := chain1(fmt.Sprint(i), 1000)
			job.Stages[0].Pieces = 5
			s.Submit(job, start)
		}
		batches := s.Schedule(start).Batches
		c.Check(batches[0].Items, qt.HasLen, test.want,
			qt.Commentf("%d jobs of five pieces, calls of %d", test.jobs, spec.Size))
	}
}

// chain1 returns a job with one piece in pool a.
func chain1(id string, bytes int64) sched.Job {
	job := chain(id, bytes)
	job.Stages = job.Stages[:1]
	return job
}

func TestCancelledJobsReleaseResultsThatComeLater(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	s.Submit(chain("one", 1000), start)
	first := s.Schedule(start).Batches[0]
	s.Cancel("one")
	s.CallFinished(first.ID, results("h1"), atMs(210))
	out := s.Schedule(atMs(210))
	c.Assert(out.Releases, qt.HasLen, 1)
	c.Check(out.Releases[0].Handles, qt.DeepEquals, []string{"h1"})
	c.Check(out.Batches, qt.HasLen, 0)
}

func TestJobsWithoutUpstreamsAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := sched.New(noLimits())
	s.SetPool("a", spec)
	s.Submit(chain("one", 1000), start)
	out := s.Schedule(start)
	c.Assert(out.Refusals, qt.HasLen, 1)
	c.Check(out.Refusals[0].Reason, qt.Equals, sched.NoUpstreams)
}

func TestJobsWithoutPiecesAreGrantedAtOnce(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	j := chain("one", 1000)
	j.Stages[0].Pieces, j.Stages[1].Pieces = 0, 0
	s.Submit(j, start)
	c.Check(s.Schedule(start).Grants, qt.HasLen, 1)
}

func TestJobsMoveToAnotherSchedulerWithTheirResults(t *testing.T) {
	c := qt.New(t)
	old, next := twoPools(), twoPools()
	old.Submit(chain("one", 1000), start)
	first := old.Schedule(start).Batches[0]
	old.Recall("one")
	out := old.Schedule(atMs(100))
	c.Check(out.Handovers, qt.HasLen, 0, qt.Commentf("a call holds a piece"))
	c.Check(out.Batches, qt.HasLen, 0)
	old.CallFinished(first.ID, results("h1"), atMs(210))
	out = old.Schedule(atMs(210))
	c.Assert(out.Handovers, qt.HasLen, 1)
	c.Check(out.Batches, qt.HasLen, 0, qt.Commentf("a recalled job gets no further calls"))
	c.Check(out.Releases, qt.HasLen, 0, qt.Commentf("the results go with the job"))
	c.Check(old.Jobs(), qt.Equals, 0)

	job := chain("one", 1000)
	job.Progress = out.Handovers[0].Stages
	next.Submit(job, atMs(220))
	second := next.Schedule(atMs(220)).Batches
	c.Assert(second, qt.HasLen, 1)
	c.Check(second[0].Upstream.Pool, qt.Equals, "b")
	c.Check(second[0].Items[0].Inputs, qt.DeepEquals, []string{"h1"})
	next.CallFinished(second[0].ID, results("h2"), atMs(420))
	out = next.Schedule(atMs(420))
	c.Assert(out.Grants, qt.HasLen, 1)
	c.Check(out.Grants[0].Inputs, qt.DeepEquals, []string{"h2"})
	c.Assert(out.Releases, qt.HasLen, 1)
	c.Check(out.Releases[0].Handles, qt.DeepEquals, []string{"h1"})
}

func TestJobsResumeFromTheProgressOfALostScheduler(t *testing.T) {
	c := qt.New(t)
	lost, next := twoPools(), twoPools()
	lost.Submit(chain("one", 1000), start)
	first := lost.Schedule(start)
	c.Check(first.Checkpoints, qt.HasLen, 0)
	lost.CallFinished(first.Batches[0].ID, results("h1"), atMs(210))
	out := lost.Schedule(atMs(210))
	c.Assert(out.Checkpoints, qt.HasLen, 1)
	c.Check(out.Checkpoints[0].Job, qt.Equals, "one")
	c.Check(lost.Schedule(atMs(230)).Checkpoints, qt.HasLen, 0, qt.Commentf("already reported"))
	c.Check(lost.Jobs(), qt.Equals, 1)

	job := chain("one", 1000)
	job.Progress = sched.AgeProgress(out.Checkpoints[0].Stages, time.Second)
	next.Submit(job, atMs(1210))
	second := next.Schedule(atMs(1210)).Batches
	c.Assert(second, qt.HasLen, 1)
	c.Check(second[0].Items[0].Inputs, qt.DeepEquals, []string{"h1"})
}

func TestProgressExpiresWithItsResults(t *testing.T) {
	progress := []sched.Progress{
		{Done: true}, {Results: []sched.HeldResult{{Handle: "h1", Producer: hosts.Lifetime{ID: "a-0"}, ExpiresIn: time.Second}, {}}}, {}}
	for _, test := range []struct {
		age  time.Duration
		want []sched.Progress
	}{
		{0, progress},
		{900 * time.Millisecond, []sched.Progress{
			{Done: true},
			{Results: []sched.HeldResult{{Handle: "h1", Producer: hosts.Lifetime{ID: "a-0"}, ExpiresIn: 100 * time.Millisecond}, {}}}, {},
		}},
		{time.Second, nil},
	} {
		got := sched.AgeProgress(progress, test.age)
		qt.Check(t, got, qt.DeepEquals, test.want, qt.Commentf("%v", test.age))
	}
}

func TestJobsWithUnknownProducersStartOver(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	job := chain("one", 1000)
	job.Progress = []sched.Progress{
		{Done: true, Results: []sched.HeldResult{{Handle: "h1", Producer: hosts.Lifetime{ID: "elsewhere"}, ExpiresIn: time.Second}}}, {}}
	s.Submit(job, start)
	batches := s.Schedule(start).Batches
	c.Assert(batches, qt.HasLen, 1)
	c.Check(batches[0].Upstream.Pool, qt.Equals, "a")
}

func TestStepsWithLargeResultsAreDeferred(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	job := chain("one", 1000)
	job.Stages = append(job.Stages, sched.Stage{Pool: "a", Pieces: 1, ResultBytes: 2_000_000})
	job.Target = start.Add(4 * time.Second)
	s.Submit(job, start)
	first := s.Schedule(start).Batches
	c.Assert(first, qt.HasLen, 1)
	c.Check(first[0].Items, qt.HasLen, 1)
	c.Check(first[0].Items[0].Stage, qt.Equals, 0,
		qt.Commentf("the large result would only occupy memory while the chain runs"))
	s.CallFinished(first[0].ID, results("h1"), atMs(210))
	var stages []int
	for _, batch := range s.Schedule(atMs(210)).Batches {
		stages = append(stages, batch.Items[0].Stage)
	}
	c.Check(stages, qt.ContentEquals, []int{1, 2},
		qt.Commentf("the last call of the chain takes as long as the large step"))
}

// A hung call must not keep its upstream idle: the upstream gets another call soon after the timeout.
func TestHungCallsTimeOut(t *testing.T) {
	c := qt.New(t)
	s := twoPools()
	s.Submit(chain("one", 1000), start)
	first := s.Schedule(start).Batches[0]
	c.Check(first.Timeout >= first.Expected && first.Timeout <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", first.Timeout))
	for now := 500; now <= 4000; now += 20 {
		if now%500 == 0 { // the other upstream does not answer either
			job := chain(fmt.Sprint("more", now), 1000)
			job.Target, job.Deadline = atMs(now+3000), atMs(now+9000)
			s.Submit(job, atMs(now))
		}
		for _, batch := range s.Schedule(atMs(now)).Batches {
			if batch.Upstream.ID == first.Upstream.ID {
				c.Check(now >= 1000, qt.IsTrue)
				return
			}
		}
	}
	c.Fatal("the upstream got no further call")
}

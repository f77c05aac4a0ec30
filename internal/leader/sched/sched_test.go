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
	Size: 12, Call: 200 * time.Millisecond, Piece: 10 * time.Millisecond, Headroom: 20_000_000, ResultRetention: 4 * time.Second,
}

// twoPools returns a board with upstreams a-0 and a-1 of pool a, and b-0 and b-1 of pool b, in two zones.
func twoPools() *sched.Scheduler {
	b := sched.New()
	var all []hosts.Upstream
	for _, pool := range []string{"a", "b"} {
		b.SetPool(pool, spec)
		for i, zone := range []string{"zone-0", "zone-1"} {
			all = append(all, hosts.Upstream{ID: pool + "-" + string(rune('0'+i)), Pool: pool, Zone: zone, State: hosts.Ready})
		}
	}
	b.SetUpstreams(hosts.New(all, start))
	return b
}

// chain is a job with one piece in pool a, whose result of the given size one piece of pool b reads.
func chain(id string, bytes int64) sched.Job {
	return sched.Job{
		ID: id, Request: id, Arrived: start, Target: start.Add(2 * time.Second), Deadline: start.Add(6 * time.Second), PieceKey: "key",
		Stages: []sched.Stage{
			{Pool: "a", Pieces: 1, ResultBytes: bytes},
			{Pool: "b", After: []int{0}, Pieces: 1, ResultBytes: 1000},
		},
	}
}

func results(handles ...string) []call.Result {
	out := make([]call.Result, len(handles))
	for i, h := range handles {
		out[i] = call.Result{Handle: h}
	}
	return out
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestChainStaysInTheZoneOfLargeResults(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	b.Submit(chain("one", 1_500_000), start)
	first := b.Step(start).Batches
	c.Assert(first, qt.HasLen, 1)
	b.Finished(first[0].ID, results("h1"), at(210))
	second := b.Step(at(210)).Batches
	c.Assert(second, qt.HasLen, 1)
	c.Check(second[0].Upstream.Zone, qt.Equals, first[0].Upstream.Zone)
	c.Check(second[0].Items[0].Inputs, qt.DeepEquals, []string{"h1"})
	c.Check(second[0].Items[0].Key, qt.Equals, "", qt.Commentf("only first stages read the key"))
}

func TestLargeResultsAreMadeWhereTheyAreRead(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	submit := func(id, zone string, bytes int64, now time.Time) []sched.Batch {
		job := chain1(id, bytes)
		job.Zone = zone
		b.Submit(job, now)
		return b.Step(now).Batches
	}
	for _, test := range []struct {
		id, zone string
		bytes    int64
		ms       int
		want     string // upstream of the call; empty when the job waits
	}{
		{"one", "zone-1", 1_500_000, 0, "a-1"},
		{"two", "zone-1", 1_500_000, 10, ""},
		{"small", "zone-1", 1000, 20, "a-0"},
	} {
		got := submit(test.id, test.zone, test.bytes, at(test.ms))
		if test.want == "" {
			c.Check(got, qt.HasLen, 0, qt.Commentf("%s", test.id))
			continue
		}
		c.Assert(got, qt.HasLen, 1, qt.Commentf("%s", test.id))
		c.Check(got[0].Upstream.ID, qt.Equals, test.want, qt.Commentf("%s", test.id))
	}
	b.Finished(2, results("h2"), at(170))
	late := b.Step(at(170)).Batches
	c.Assert(late, qt.HasLen, 1, qt.Commentf("a job does not wait for its zone for long"))
	c.Check(late[0].Upstream.ID, qt.Equals, "a-0")
}

func TestOvertakenCallDoesNotRestartItsJob(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	b.Submit(chain("one", 1000), start)
	first := b.Step(start).Batches[0]
	b.Finished(first.ID, results("h1"), at(210))
	slow := b.Step(at(210)).Batches[0]
	hedge := b.Step(at(700)).Batches
	c.Assert(hedge, qt.HasLen, 1, qt.Commentf("a call that takes too long runs elsewhere too"))
	c.Check(hedge[0].Upstream.ID, qt.Not(qt.Equals), slow.Upstream.ID)
	b.Finished(hedge[0].ID, results("h2"), at(910))
	out := b.Step(at(910))
	c.Assert(out.Grants, qt.HasLen, 1)
	c.Check(out.Grants[0].Inputs, qt.DeepEquals, []string{"h2"})
	b.Finished(slow.ID, []call.Result{{Failure: call.FailedInputGone}}, at(950))
	out = b.Step(at(950))
	c.Check(out.Batches, qt.HasLen, 0)
	c.Check(out.Releases, qt.HasLen, 0, qt.Commentf("the results of the request are kept until it has read them"))
	b.Release("one")
	c.Check(b.Step(at(960)).Releases, qt.HasLen, 1)
}

func TestLostInputsRestartTheStages(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	b.Submit(chain("one", 1000), start)
	b.Finished(b.Step(start).Batches[0].ID, results("h1"), at(210))
	second := b.Step(at(210)).Batches[0]
	b.Finished(second.ID, []call.Result{{Failure: call.FailedInputGone}}, at(420))
	again := b.Step(at(420)).Batches
	c.Assert(again, qt.HasLen, 1)
	c.Check(again[0].Upstream.Pool, qt.Equals, "a")
}

func TestFailedUpstreamsPauseAndPiecesGoElsewhere(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	b.Submit(chain("one", 1000), start)
	first := b.Step(start).Batches[0]
	b.Failed(first.ID, false, at(10))
	again := b.Step(at(10)).Batches
	c.Assert(again, qt.HasLen, 1)
	c.Check(again[0].Upstream.ID, qt.Not(qt.Equals), first.Upstream.ID)
}

func TestMemoryForResultsBoundsACall(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	for _, id := range []string{"1", "2", "3", "4", "5"} {
		b.Submit(chain(id, 9_000_000), start)
	}
	out := b.Step(start).Batches
	c.Assert(out, qt.HasLen, 2)
	for _, batch := range out {
		c.Check(batch.Items, qt.HasLen, 2, qt.Commentf("two results of 9 MB fit into 20 MB"))
	}
}

func TestForeignResultsAreCounted(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	b.Submit(chain("1", 9_000_000), start)
	probes := b.Step(start).Probes
	c.Assert(len(probes) > 0, qt.IsTrue, qt.Commentf("a new leader asks what others have left behind"))
	b.SetFree("a-0", 1_000_000, start)
	b.SetFree("a-1", 1_000_000, start)
	b.Submit(chain("2", 9_000_000), at(10))
	c.Check(b.Step(at(10)).Batches, qt.HasLen, 0)
}

// Reports are in whole MB. Right after a piece found no room, what they leave open counts as taken.
func TestReportsAfterALackOfRoomLeaveNoneOpen(t *testing.T) {
	c := qt.New(t)
	small := spec
	small.Headroom = 4_200_000
	b := sched.New()
	b.SetPool("a", small)
	b.SetUpstreams(hosts.New([]hosts.Upstream{{ID: "a-0", Pool: "a", State: hosts.Ready}}, start))
	b.Submit(chain1("one", 60_000), start)
	first := b.Step(start).Batches
	c.Assert(first, qt.HasLen, 1)
	b.Finished(first[0].ID, []call.Result{{Failure: call.FailedNoMemory}}, at(210))
	b.SetFree("a-0", 0, at(220))
	c.Check(b.Step(at(400)).Batches, qt.HasLen, 0)
	b.SetFree("a-0", 1_000_000, at(900))
	c.Check(b.Step(at(900)).Batches, qt.HasLen, 1)
}

// While late jobs wait in vain, others for the same pools are refused at once, and told to come back later and later.
func TestOverloadRefusesLateJobsAtOnce(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	late := func(id string, now time.Time, pools ...string) sched.Job {
		job := sched.Job{ID: id, Request: id, Arrived: now, Target: now.Add(100 * time.Millisecond), Deadline: now.Add(6 * time.Second)}
		for _, p := range pools {
			job.Stages = append(job.Stages, sched.Stage{Pool: p, Pieces: 1, ResultBytes: 1000})
		}
		return job
	}
	for i := range 24 { // both upstreams of pool a are busy, and more is urgent
		b.Submit(chain1(fmt.Sprint("busy", i), 1_000_000), start)
	}
	b.Step(start)
	refusals := func(ms int) map[string]time.Duration {
		out := map[string]time.Duration{}
		for _, r := range b.Step(at(ms)).Refusals {
			out[r.Job] = r.RetryAfter
		}
		return out
	}
	b.Submit(late("first", at(10), "a"), at(10))
	c.Check(refusals(20), qt.HasLen, 0, qt.Commentf("it may still find a free upstream"))
	c.Check(refusals(600)["first"] > 0, qt.IsTrue)
	b.Submit(late("second", at(700), "a"), at(700))
	c.Check(refusals(700)["second"] > 0, qt.IsTrue, qt.Commentf("another one of its kind waited in vain"))
	b.Submit(late("both", at(710), "a", "b"), at(710))
	c.Check(refusals(710)["both"] > 0, qt.IsTrue, qt.Commentf("it needs the same pool too"))
	b.Submit(late("other", at(720), "b"), at(720))
	c.Check(refusals(720), qt.HasLen, 0, qt.Commentf("the other pool is free"))
	turns := late("turns late", at(730), "a")
	turns.Target, turns.Deadline = at(1430), at(20_000)
	b.Submit(turns, at(730))
	c.Check(refusals(730), qt.HasLen, 0, qt.Commentf("it can be in time"))
	refusals(1180)
	c.Check(refusals(1200)["turns late"] > 0, qt.IsTrue, qt.Commentf("it can't be any more"))
	b.Submit(late("probe", at(1700), "a"), at(1700))
	c.Check(refusals(1700)["probe"], qt.Equals, time.Duration(0), qt.Commentf("one a second finds out whether the overload goes on"))
	c.Check(refusals(2300)["probe"] > 0, qt.IsTrue)
	b.Submit(late("third", at(3200), "a"), at(3200))
	got := refusals(3200)["third"]
	c.Check(got > time.Second && got <= 2*time.Second, qt.IsTrue, qt.Commentf("%v of overload, within a third of its time", got))
}

func TestLastStepsShareCallsWhenTheirPoolIsBackedUp(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		jobs, want int // pieces in the first call
	}{{2, 10}, {8, 12}} {
		b := twoPools()
		for i := range test.jobs {
			job := chain1(fmt.Sprint(i), 1000)
			job.Stages[0].Pieces = 5
			b.Submit(job, start)
		}
		batches := b.Step(start).Batches
		c.Check(batches[0].Items, qt.HasLen, test.want, qt.Commentf("%d jobs of five pieces, calls of %d", test.jobs, spec.Size))
	}
}

// chain1 is a job with one piece in pool a.
func chain1(id string, bytes int64) sched.Job {
	job := chain(id, bytes)
	job.Stages = job.Stages[:1]
	return job
}

func TestCancelledJobsReleaseResultsThatComeLater(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	b.Submit(chain("one", 1000), start)
	first := b.Step(start).Batches[0]
	b.Cancel("one")
	b.Finished(first.ID, results("h1"), at(210))
	out := b.Step(at(210))
	c.Assert(out.Releases, qt.HasLen, 1)
	c.Check(out.Releases[0].Handles, qt.DeepEquals, []string{"h1"})
	c.Check(out.Batches, qt.HasLen, 0)
}

func TestJobsWithoutUpstreamsAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	b := sched.New()
	b.SetPool("a", spec)
	b.Submit(chain("one", 1000), start)
	out := b.Step(start)
	c.Assert(out.Refusals, qt.HasLen, 1)
	c.Check(out.Refusals[0].Reason, qt.Equals, sched.NoUpstreams)
}

func TestJobsWithoutPiecesAreGrantedAtOnce(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	j := chain("one", 1000)
	j.Stages[0].Pieces, j.Stages[1].Pieces = 0, 0
	b.Submit(j, start)
	c.Check(b.Step(start).Grants, qt.HasLen, 1)
}

func TestJobsMoveToAnotherBoardWithTheirResults(t *testing.T) {
	c := qt.New(t)
	old, next := twoPools(), twoPools()
	old.Submit(chain("one", 1000), start)
	first := old.Step(start).Batches[0]
	old.Recall("one")
	out := old.Step(at(100))
	c.Check(out.Handovers, qt.HasLen, 0, qt.Commentf("a call holds a piece"))
	c.Check(out.Batches, qt.HasLen, 0)
	old.Finished(first.ID, results("h1"), at(210))
	out = old.Step(at(210))
	c.Assert(out.Handovers, qt.HasLen, 1)
	c.Check(out.Batches, qt.HasLen, 0, qt.Commentf("a recalled job gets no more calls"))
	c.Check(out.Releases, qt.HasLen, 0, qt.Commentf("the results go with the job"))
	c.Check(old.Jobs(), qt.Equals, 0)

	job := chain("one", 1000)
	job.Progress = out.Handovers[0].Stages
	next.Submit(job, at(220))
	second := next.Step(at(220)).Batches
	c.Assert(second, qt.HasLen, 1)
	c.Check(second[0].Upstream.Pool, qt.Equals, "b")
	c.Check(second[0].Items[0].Inputs, qt.DeepEquals, []string{"h1"})
	next.Finished(second[0].ID, results("h2"), at(420))
	out = next.Step(at(420))
	c.Assert(out.Grants, qt.HasLen, 1)
	c.Check(out.Grants[0].Inputs, qt.DeepEquals, []string{"h2"})
	c.Assert(out.Releases, qt.HasLen, 1)
	c.Check(out.Releases[0].Handles, qt.DeepEquals, []string{"h1"})
}

func TestJobsGoOnWhereALostBoardToldTheyWere(t *testing.T) {
	c := qt.New(t)
	lost, next := twoPools(), twoPools()
	lost.Submit(chain("one", 1000), start)
	first := lost.Step(start)
	c.Check(first.Advances, qt.HasLen, 0)
	lost.Finished(first.Batches[0].ID, results("h1"), at(210))
	out := lost.Step(at(210))
	c.Assert(out.Advances, qt.HasLen, 1)
	c.Check(out.Advances[0].Job, qt.Equals, "one")
	c.Check(lost.Step(at(230)).Advances, qt.HasLen, 0, qt.Commentf("it was told"))
	c.Check(lost.Jobs(), qt.Equals, 1)

	job := chain("one", 1000)
	job.Progress = sched.WithAge(out.Advances[0].Stages, time.Second)
	next.Submit(job, at(1210))
	second := next.Step(at(1210)).Batches
	c.Assert(second, qt.HasLen, 1)
	c.Check(second[0].Items[0].Inputs, qt.DeepEquals, []string{"h1"})
}

func TestProgressAgesWithItsResults(t *testing.T) {
	told := []sched.Progress{{Done: true}, {Results: []sched.Held{{Handle: "h1", Maker: "a-0", Left: time.Second}, {}}}, {}}
	for _, test := range []struct {
		age  time.Duration
		want []sched.Progress
	}{
		{0, told},
		{900 * time.Millisecond, []sched.Progress{
			{Done: true}, {Results: []sched.Held{{Handle: "h1", Maker: "a-0", Left: 100 * time.Millisecond}, {}}}, {},
		}},
		{time.Second, nil},
	} {
		got := sched.WithAge(told, test.age)
		qt.Check(t, got, qt.DeepEquals, test.want, qt.Commentf("%v", test.age))
	}
}

func TestJobsWhoseResultsAreNotKnownRunAnew(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	job := chain("one", 1000)
	job.Progress = []sched.Progress{{Done: true, Results: []sched.Held{{Handle: "h1", Maker: "elsewhere", Left: time.Second}}}, {}}
	b.Submit(job, start)
	batches := b.Step(start).Batches
	c.Assert(batches, qt.HasLen, 1)
	c.Check(batches[0].Upstream.Pool, qt.Equals, "a")
}

func TestLargeResultsAreMadeLate(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	job := chain("one", 1000)
	job.Stages = append(job.Stages, sched.Stage{Pool: "a", Pieces: 1, ResultBytes: 2_000_000})
	job.Target = start.Add(4 * time.Second)
	b.Submit(job, start)
	first := b.Step(start).Batches
	c.Assert(first, qt.HasLen, 1)
	c.Check(first[0].Items, qt.HasLen, 1)
	c.Check(first[0].Items[0].Stage, qt.Equals, 0, qt.Commentf("its large result would only occupy memory while the chain runs"))
	b.Finished(first[0].ID, results("h1"), at(210))
	var stages []int
	for _, batch := range b.Step(at(210)).Batches {
		stages = append(stages, batch.Items[0].Stage)
	}
	c.Check(stages, qt.ContentEquals, []int{1, 2}, qt.Commentf("the last call of the chain takes as long as the large step"))
}

// A call that hangs must not keep its upstream from working for longer than a slow one takes.
func TestCallsThatHangAreGivenUp(t *testing.T) {
	c := qt.New(t)
	b := twoPools()
	b.Submit(chain("one", 1000), start)
	first := b.Step(start).Batches[0]
	c.Check(first.Limit >= first.Expected && first.Limit <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", first.Limit))
	for now := 500; now <= 4000; now += 20 {
		if now%500 == 0 { // the other upstream has no answers either
			job := chain(fmt.Sprint("more", now), 1000)
			job.Target, job.Deadline = at(now+3000), at(now+9000)
			b.Submit(job, at(now))
		}
		for _, batch := range b.Step(at(now)).Batches {
			if batch.Upstream.ID == first.Upstream.ID {
				c.Check(now >= 1000, qt.IsTrue)
				return
			}
		}
	}
	c.Fatal("it gets no more calls")
}

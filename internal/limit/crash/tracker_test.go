package crash_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
)

// lead returns a tracker of a process that leads.
func lead(now func() time.Time) *crash.Tracker {
	yes := func() bool { return true }
	return crash.New(crash.Options{Now: now, Leads: yes, HearsOthers: yes})
}

// report returns a crash at the given time.
func report(fingerprint uint64, lifetime string, sent, broke time.Time, parts ...string) crash.Report {
	return crash.Report{Fingerprint: fingerprint, Lifetime: lifetime, Sent: sent, Broke: broke, Parts: parts}
}

func TestTwoCrashesBlockAFingerprint(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := lead(func() time.Time { return now })
	c.Check(tracker.ObserveCrash(report(7, "a", now, now)), qt.IsFalse)
	c.Check(tracker.BlockedFor(7, nil), qt.Equals, time.Duration(0))
	c.Check(tracker.ObserveCrash(report(8, "a", now, now)), qt.IsFalse,
		qt.Commentf("another request that was in flight at the same time"))
	now = now.Add(5 * time.Second)
	c.Check(tracker.ObserveCrash(report(7, "a", now, now)), qt.IsFalse,
		qt.Commentf("the same lifetime of an upstream can't crash twice"))
	c.Check(tracker.ObserveCrash(report(7, "b", now, now)), qt.IsTrue)
	c.Check(tracker.BlockedFor(7, nil) > 0, qt.IsTrue)
	c.Check(tracker.BlockedFingerprints(), qt.DeepEquals, []uint64{7})
	other := lead(func() time.Time { return now })
	other.SetBlocked(tracker.BlockedFingerprints())
	c.Check(other.BlockedFor(7, nil) > 0, qt.IsTrue)
	now = now.Add(time.Minute)
	c.Check(tracker.BlockedFor(7, nil), qt.Equals, time.Duration(0))
	c.Check(tracker.BlockedFingerprints(), qt.HasLen, 0)
}

func TestNoLifetimeCountsTwice(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := lead(func() time.Time { return now })
	crashUnder := func(lifetime string) bool {
		now = now.Add(time.Second)
		return tracker.ObserveCrash(report(7, lifetime, now, now))
	}
	c.Check(crashUnder("a"), qt.IsFalse)
	now = now.Add(time.Second)
	tracker.ObserveAnswer(7)
	c.Check(crashUnder("b"), qt.IsFalse)
	c.Check(crashUnder("a"), qt.IsFalse, qt.Commentf("another request that was in flight there"))
}

func TestRequestsThatBreakDownTogetherCountOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := lead(func() time.Time { return now })
	sent := now.Add(-100 * time.Millisecond)
	for _, lifetime := range []string{"a", "a", "b", "c"} {
		c.Check(tracker.ObserveCrash(report(7, lifetime, sent, now)), qt.IsFalse,
			qt.Commentf("three upstreams broke down under four requests at once"))
		now = now.Add(10 * time.Millisecond)
	}
	c.Check(tracker.ObserveCrash(report(7, "d", now.Add(-time.Millisecond), now)), qt.IsTrue)
}

func TestRequestsThatAreAnsweredAreNotToBlame(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := lead(func() time.Time { return now })
	c.Check(tracker.ObserveAnswer(7), qt.IsFalse)
	for _, lifetime := range []string{"a", "b", "c"} {
		c.Check(tracker.ObserveCrash(report(7, lifetime, now, now)), qt.IsFalse, qt.Commentf("it was answered since the last crash"))
		now = now.Add(time.Second)
		c.Check(tracker.ObserveAnswer(7), qt.IsTrue)
	}
	tracker.ObserveCrash(report(7, "d", now, now))
	now = now.Add(time.Second)
	c.Check(tracker.ObserveCrash(report(7, "e", now, now)), qt.IsTrue)
	c.Check(tracker.ObserveAnswer(7), qt.IsFalse, qt.Commentf("a blocked fingerprint stays blocked"))
	c.Check(tracker.BlockedFor(7, nil) > 0, qt.IsTrue)
}

func TestCrashesFarApartDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := lead(func() time.Time { return now })
	tracker.ObserveCrash(report(7, "a", now, now))
	now = now.Add(2 * time.Minute)
	c.Check(tracker.ObserveCrash(report(7, "b", now, now)), qt.IsFalse)
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := lead(func() time.Time { return now })
	for i := range uint64(10000) {
		tracker.ObserveCrash(report(i, "a", now, now))
		tracker.ObserveCrash(report(i, "b", now.Add(time.Millisecond), now))
	}
	c.Check(len(tracker.BlockedFingerprints()) <= 64, qt.IsTrue)
}

// TestParts plays the cases of testdata/parts.txt.
func TestParts(t *testing.T) {
	text, err := os.ReadFile("testdata/parts.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, section := range strings.Split(string(text), "\n[")[1:] {
		name, steps, _ := strings.Cut(section, "]\n")
		t.Run(name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			now := start
			tracker := lead(func() time.Time { return now })
			for step := range strings.Lines(steps) {
				play(t, tracker, strings.Fields(step), func(ms string) time.Time {
					n, err := strconv.Atoi(ms)
					qt.Assert(t, err, qt.IsNil)
					return start.Add(time.Duration(n) * time.Millisecond)
				}, func(at time.Time) {
					tracker.Judge()
					now = at
					tracker.Judge()
				})
			}
		})
	}
}

// play carries out one step of a case; moveTo sets the time.
func play(t *testing.T, tracker *crash.Tracker, step []string, at func(string) time.Time, moveTo func(time.Time)) {
	if len(step) == 0 {
		return
	}
	switch step[0] {
	case "crash":
		fingerprint, err := strconv.ParseUint(step[1], 10, 64)
		qt.Assert(t, err, qt.IsNil)
		moveTo(at(step[4]))
		r := report(fingerprint, step[2], at(step[3]), at(step[4]), strings.Split(step[5], ",")...)
		r.Begun = len(step) > 6
		tracker.ObserveCrash(r)
	case "begun":
		moveTo(at(step[1]))
		tracker.ObserveBegun(strings.Split(step[2], ","))
	case "blocked":
		moveTo(at(step[1]))
		blocked := tracker.BlockedFor(0, strings.Split(step[2], ",")) > 0
		qt.Check(t, blocked, qt.Equals, step[3] == "yes", qt.Commentf("%v", step))
	case "admit":
		moveTo(at(step[1]))
		wait, trial := tracker.Admit(0, strings.Split(step[2], ","))
		got := "yes"
		if trial {
			got = "trial"
		} else if wait > 0 {
			got = "refused"
		}
		qt.Check(t, got, qt.Equals, step[3], qt.Commentf("%v", step))
	default:
		t.Fatalf("unknown step %v", step)
	}
}

// Requests with parts that crash engines come among sound ones, beside engines that crash for another reason. At most
// three get through later than 3 s after the fifth crash under a part, and sound requests go on being admitted.
func TestTaintedPartsAreFoundInALoad(t *testing.T) {
	for seed := range uint64(8) {
		for _, load := range []struct {
			engines, perSecond, tainted int
			share                       float64
		}{
			{12, 40, 1, 0.05}, {12, 40, 2, 0.1}, {18, 60, 3, 0.05}, {12, 40, 1, 0.3}, {110, 600, 1, 0.03}, {110, 600, 4, 0.05},
		} {
			c := qt.New(t)
			played := playLoad(seed, load.engines, load.perSecond, load.tainted, load.share)
			name := fmt.Sprintf("seed %d, %+v", seed, load)
			c.Check(played.late <= 3, qt.IsTrue, qt.Commentf("%s: %d tainted requests sent too late", name, played.late))
			c.Check(played.refused*100 <= played.sound, qt.IsTrue,
				qt.Commentf("%s: %d of %d sound requests refused", name, played.refused, played.sound))
		}
	}
}

// outcome counts what became of the requests of a played load.
type outcome struct {
	sound, refused int
	late           int // most requests with one part that were sent 3 s after the fifth crash under it
}

// running is a request on an engine.
type running struct {
	report crash.Report
	bad    int // number of its tainted part, -1 if it has none
	begins time.Time
}

// playLoad plays 30 s of traffic on engines in steps of 10 ms.
func playLoad(seed uint64, engines, perSecond, tainted int, share float64) outcome {
	const step, length, startsUp, contact = 10 * time.Millisecond, 30 * time.Second, 3 * time.Second, 3 * time.Second
	random := rand.New(rand.NewPCG(seed, 27))
	start := time.Unix(1000, 0)
	now := start
	tracker := lead(func() time.Time { return now })
	on := make([][]running, engines)
	upAt := make([]time.Time, engines)
	lives := make([]int, engines)
	crashes, late := make([][]time.Time, tainted), make([]int, tainted)
	var got outcome
	var id uint64
	end := func(e int) {
		for _, r := range on[e] {
			r.report.Broke = now
			tracker.ObserveCrash(r.report)
		}
		on[e], upAt[e] = nil, now.Add(startsUp)
		lives[e]++
	}
	for ; now.Before(start.Add(length)); now = now.Add(step) {
		for e := range on {
			for i := 0; i < len(on[e]); i++ {
				r := on[e][i]
				if now.Before(r.begins) {
					continue
				}
				if r.bad >= 0 {
					crashes[r.bad] = append(crashes[r.bad], now)
					end(e)
					break
				}
				tracker.ObserveBegun(r.report.Parts)
				on[e] = append(on[e][:i], on[e][i+1:]...)
				i--
			}
			if random.Float64() < 0.01*step.Seconds() {
				end(e)
			}
		}
		if now.Sub(start) == 12*time.Second {
			for e := range engines / 3 {
				end(e)
			}
		}
		tracker.Judge()
		for range perSecond {
			if random.Float64() >= step.Seconds() {
				continue
			}
			id++
			sys := random.IntN(4)
			parts := []string{fmt.Sprint("sys", sys), fmt.Sprint("doc", random.IntN(200))}
			bad := -1
			if now.Sub(start) > 4*time.Second && random.Float64() < share {
				bad = random.IntN(tainted)
				parts = []string{"sys0", fmt.Sprint("doc", bad), fmt.Sprint("bad", bad)}
			}
			wait, _ := tracker.Admit(id, parts)
			if bad < 0 {
				got.sound++
				if wait > 0 {
					got.refused++
				}
			}
			e := random.IntN(engines)
			if wait > 0 || now.Before(upAt[e]) {
				continue
			}
			if bad >= 0 && len(crashes[bad]) >= 5 && now.Sub(crashes[bad][4]) > contact {
				late[bad]++
				got.late = max(got.late, late[bad])
			}
			on[e] = append(on[e], running{bad: bad, begins: now.Add(time.Duration(50+random.IntN(400)) * time.Millisecond),
				report: crash.Report{Fingerprint: id, Lifetime: fmt.Sprint(e, "/", lives[e]), Sent: now, Parts: parts}})
		}
	}
	return got
}

// A crash is reported late, when its upstream has left the list. Answers in the meantime at an entry that did not know
// of it still clear the request and its parts.
func TestAnswersBeforeACrashIsReportedCount(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	leader := lead(func() time.Time { return now })
	follower := crash.New(crash.Options{Now: func() time.Time { return now }, Leads: func() bool { return false }})
	start := now
	now = start.Add(5 * time.Second)
	c.Check(follower.ObserveAnswer(7), qt.IsFalse)
	follower.ObserveBegun([]string{"sys"})
	now = start.Add(8 * time.Second)
	for i, lifetime := range []string{"a", "b", "c"} {
		broke := start.Add(time.Duration(i+1) * time.Second)
		leader.ObserveCrash(report(7, lifetime, broke.Add(-time.Millisecond), broke))
		leader.ObserveCrash(report(uint64(i+10), lifetime, broke.Add(-time.Millisecond), broke, "sys"))
	}
	now = now.Add(time.Second)
	c.Check(leader.Judge(), qt.HasLen, 1)
	c.Check(leader.BlockedFor(7, nil) > 0, qt.IsTrue)
	changes, _ := leader.Changes(0)
	leader.Merge(follower.Merge(changes))
	c.Check(leader.BlockedFor(7, nil), qt.Equals, time.Duration(0))
	c.Check(leader.BlockedFor(0, []string{"sys"}), qt.Equals, time.Duration(0))
	c.Check(leader.Blocks(), qt.HasLen, 0)
}

// An entry that is cut off from the others sees only some of the requests at a crash.
func TestAnEntryAloneBlocksAPartLater(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := crash.New(crash.Options{Now: func() time.Time { return now }, Leads: func() bool { return true },
		HearsOthers: func() bool { return false }})
	for i := range uint64(5) {
		c.Check(tracker.BlockedFor(0, []string{"sys"}), qt.Equals, time.Duration(0))
		sent := now
		now = now.Add(time.Second)
		tracker.ObserveCrash(report(i, fmt.Sprint("life-", i), sent, now, "sys"))
		now = now.Add(time.Second)
		tracker.Judge()
	}
	c.Check(tracker.BlockedFor(0, []string{"sys"}) > 0, qt.IsTrue)
}

func TestABlockIsMadeOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := lead(func() time.Time { return now })
	made := 0
	for i := range uint64(8) {
		sent := now
		now = now.Add(time.Second)
		for beside := range uint64(2) {
			parts := []string{"bad", "aside"}[beside:]
			tracker.ObserveCrash(report(2*i+beside, fmt.Sprint("life-", i), sent, now, parts[0]))
		}
		now = now.Add(time.Second)
		if i == 1 {
			tracker.ObserveBegun([]string{"aside"})
		}
		made += len(tracker.Judge())
	}
	c.Check(made, qt.Equals, 1)
	c.Check(tracker.BlockedFor(0, []string{"bad"}) > 0, qt.IsTrue)
	c.Check(tracker.BlockedFor(0, []string{"aside"}), qt.Equals, time.Duration(0))
}

// A process that takes over the lead knows what the one before knew: it blocks at the next crash, and blames no part on
// which answers have begun in between.
func TestSuspicionOutlivesTheLeader(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	leads := false
	first := lead(func() time.Time { return now })
	next := crash.New(crash.Options{Now: func() time.Time { return now }, Leads: func() bool { return leads },
		HearsOthers: func() bool { return leads }})
	after := int64(0)
	for i, lifetime := range []string{"a", "b"} {
		sent := now
		now = now.Add(time.Second)
		first.ObserveCrash(report(uint64(i), lifetime, sent, now, "sys", "bad"))
		first.ObserveCrash(report(uint64(i+10), lifetime, sent, now, "sys"))
		now = now.Add(time.Second)
		first.ObserveBegun([]string{"sys"})
		var changes []crash.Change
		changes, after = first.Changes(after)
		next.Merge(changes)
	}
	leads = true
	sent := now
	now = now.Add(time.Second)
	next.ObserveCrash(report(3, "c", sent, now, "sys", "bad"))
	now = now.Add(time.Second)
	c.Check(next.Judge(), qt.HasLen, 1)
	c.Check(next.BlockedFor(0, []string{"sys", "bad"}) > 0, qt.IsTrue)
	c.Check(next.BlockedFor(0, []string{"sys"}), qt.Equals, time.Duration(0))

	follower := crash.New(crash.Options{Now: func() time.Time { return now }, Leads: func() bool { return false }})
	follower.SetBlocks(next.Blocks())
	c.Check(follower.BlockedFor(0, []string{"sys", "bad"}) > 0, qt.IsTrue)
	fresh := lead(func() time.Time { return now })
	fresh.AddBlocks(follower.Blocks())
	c.Check(fresh.BlockedFor(0, []string{"sys", "bad"}) > 0, qt.IsTrue)
}

package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// crash records a crash with the fingerprint in flight.
func (p *proc) crash(id string, inFlight int, fingerprint string) {
	p.marks.Update(func(s *poison.Set) *poison.Set {
		return s.WithCrash(time.Now(), poison.Crash{ID: id, InFlight: inFlight}, fingerprint)
	})
}

// waitForState waits until all processes hold the fingerprint in a state, and returns how long that took.
func (m *mesh) waitForState(procs []*proc, fingerprint string, want poison.State, limit time.Duration) time.Duration {
	start := time.Now()
	for {
		left := 0
		for _, p := range procs {
			if p.marks.Load().State(fingerprint, time.Now()) != want {
				left++
			}
		}
		took := time.Since(start)
		if left == 0 {
			return took
		}
		if took >= limit {
			m.Fatalf("after %v %d processes don't hold %s as %s", took, left, fingerprint, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestMarksReachEveryEntry(t *testing.T) {
	run(t, func(m *mesh) {
		entries := m.add(Entry, 48, 3)
		time.Sleep(settleTime)
		entries[0].crash("r1/i1/1", 4, "bad")
		took := m.waitForState(entries, "bad", poison.Suspect, timing.MaxPropagationTime)
		m.Logf("48 entries: suspect everywhere after %v", took)
		entries[17].crash("r2/i1/1", 1, "bad")
		took = m.waitForState(entries, "bad", poison.Quarantined, timing.MaxPropagationTime)
		m.Logf("48 entries: quarantined everywhere after %v", took)
		entries[5].marks.Update(func(s *poison.Set) *poison.Set { return s.WithLift(time.Now(), "bad", "maite") })
		took = m.waitForState(entries, "bad", poison.Lifted, timing.MaxPropagationTime)
		m.Logf("48 entries: lifted everywhere after %v", took)
	})
}

func TestMarksMergeAfterAPartitionHeals(t *testing.T) {
	run(t, func(m *mesh) {
		entries := m.add(Entry, 12, 3)
		time.Sleep(settleTime)
		for i, p := range entries {
			m.setPartition(p, i%2)
		}
		// The request crashes one upstream in each partition; only in the second it runs alone.
		entries[0].crash("r1/i1/1", 4, "bad")
		entries[1].crash("r2/i1/1", 1, "bad")
		time.Sleep(time.Minute)
		m.Assert(entries[0].marks.Load().State("bad", time.Now()), qt.Equals, poison.Suspect)
		for _, p := range entries {
			m.setPartition(p, 0)
		}
		m.waitForState(entries, "bad", poison.Quarantined, time.Minute)
	})
}

func TestNewEntryReceivesOldMarks(t *testing.T) {
	run(t, func(m *mesh) {
		entries := m.add(Entry, 6, 3)
		time.Sleep(settleTime)
		for i := range 20 {
			entries[0].crash(fmt.Sprint("r1/i1/", i), 4, fmt.Sprint("fp", i))
		}
		time.Sleep(2 * time.Minute)
		late := m.start("late", Entry, "z1")
		for i := range 20 {
			m.waitForState([]*proc{late}, fmt.Sprint("fp", i), poison.Suspect, 2*time.Minute)
		}
	})
}

func TestCollectedVersionsShowLaggingAndSilentProcesses(t *testing.T) {
	run(t, func(m *mesh) {
		entries, sidecars := addCurrentFleet(m)
		lagging := sidecars[3]
		m.setPartition(lagging, 1)
		lagging.log.setCut(true)
		old := lagging.offset()
		offset := m.publish(entries[0], "new")
		dead := entries[4]
		m.kill(dead)
		time.Sleep(settleTime)
		versions, silent := entries[0].CollectVersions(context.Background())
		m.Assert(silent, qt.DeepEquals, []string{dead.Name})
		byName := map[string]Version{}
		for _, v := range versions {
			byName[v.Process] = v
		}
		for _, p := range m.procs {
			v, ok := byName[p.Name]
			m.Assert(ok, qt.IsTrue, qt.Commentf("%s", p.Name))
			if p == lagging {
				m.Assert(v.Offset, qt.Equals, old)
			} else if p != dead {
				m.Assert(v.Offset >= offset, qt.IsTrue, qt.Commentf("%s is at %d", p.Name, v.Offset))
			}
		}
	})
}

func TestSidecarPullsANewerOffsetAtOnce(t *testing.T) {
	run(t, func(m *mesh) {
		entries, sidecars := addCurrentFleet(m)
		offset := m.publish(entries[0], "new")
		start := time.Now()
		for sidecars[0].offset() < offset {
			sidecars[0].NotifyOffset(offset)
			time.Sleep(5 * time.Millisecond)
			m.Assert(time.Since(start) < time.Second/2, qt.IsTrue)
		}
	})
}

package gossip

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// inForceToday is how soon a configuration is in force everywhere at today's sizes.
const inForceToday = 3 * time.Second

const settle = 5 * time.Second

func today(m *mesh) (entries, sides []*proc) {
	entries = m.add(Entry, 8, 3)
	sides = m.add(Sidecar, 40, 3)
	time.Sleep(settle)
	return entries, sides
}

func TestInForceEverywhereWithLogUp(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := today(m)
		var worst time.Duration
		for i := range 20 {
			var offset int64
			if i%2 == 0 {
				offset = m.publish(entries[i%len(entries)], fmt.Sprint("p", i))
			} else {
				offset = m.publishElsewhere(fmt.Sprint("p", i))
			}
			worst = max(worst, m.spread(m.procs, offset, inForceToday))
		}
		m.sameDigest(m.procs)
		m.Logf("48 processes, log up: in force everywhere after at most %v", worst)
	})
}

func TestLogDownReachesEveryProcess(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := today(m)
		for i := range 10 {
			// Only one entry reads back its own append before the log goes away.
			for _, p := range m.procs {
				p.log.setCut(p != entries[i%len(entries)])
			}
			offset := m.publish(entries[i%len(entries)], fmt.Sprint("p", i))
			m.log.SetDown(true)
			took := m.spread(m.procs, offset, inForceToday)
			m.log.SetDown(false)
			m.Logf("48 processes, log down: everywhere after %v", took)
		}
		m.sameDigest(m.procs)
	})
}

func TestPartitionHeals(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := today(m)
		var island, rest []*proc
		for _, p := range m.procs {
			if p.Zone == "z0" {
				m.split(p, 1)
				p.log.setCut(true)
				island = append(island, p)
			} else {
				rest = append(rest, p)
			}
		}
		before := island[0].offset()
		var offset int64
		for i := range 5 {
			offset = m.publish(entries[1], fmt.Sprint("p", i))
		}
		m.spread(rest, offset, inForceToday)
		time.Sleep(2 * time.Minute)
		for _, p := range island {
			m.Assert(p.offset(), qt.Equals, before)
			m.Assert(p.feed.Ready(), qt.IsNil)
			m.split(p, 0)
		}
		took := m.spread(m.procs, offset, inForceToday)
		m.sameDigest(m.procs)
		m.Logf("partition healed after %v, log still cut off for the zone", took)
	})
}

func TestStartDuringOutageTakesTheNewestState(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := today(m)
		// An entry of the same zone still answers, but no longer learns anything.
		stale := entries[0]
		stale.stop()
		stale.done.Wait()
		offset := m.publish(entries[1], "new")
		m.spread(m.procs[1:], offset, inForceToday)
		m.log.SetDown(true)
		m.Assert(stale.offset() < offset, qt.IsTrue)
		fresh := m.start("replaced", Entry, "z0")
		for fresh.feed.Ready() != nil {
			time.Sleep(time.Millisecond)
		}
		m.Assert(fresh.offset(), qt.Equals, offset)
	})
}

func TestStartAloneDuringOutageStaysNotReadyAndSaysWhy(t *testing.T) {
	run(t, func(m *mesh) {
		m.log.SetDown(true)
		alone := m.start("alone", Entry, "z0")
		time.Sleep(time.Minute)
		m.Assert(alone.feed.Ready(), qt.IsNotNil)
		m.Assert(alone.NotReadyReason(), qt.Equals, "the host list shows no entry to ask")
		// Two that know nothing don't make each other ready.
		other := m.start("other", Entry, "z1")
		time.Sleep(time.Minute)
		m.Assert(alone.feed.Ready(), qt.IsNotNil)
		m.Assert(other.feed.Ready(), qt.IsNotNil)
		m.Assert(strings.Contains(other.NotReadyReason(), "asked 1 entries and none had a configuration"), qt.IsTrue, qt.Commentf("%s", other.NotReadyReason()))
		m.log.SetDown(false)
		time.Sleep(time.Minute)
		m.Assert(alone.feed.Ready(), qt.IsNil)
		m.Assert(other.NotReadyReason(), qt.Equals, "")
	})
}

func TestFarBehindProcessFetches(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := today(m)
		late := entries[7]
		m.split(late, 1)
		late.log.setCut(true)
		var offset int64
		for i := range 3 * maxRecords {
			offset = m.publish(entries[0], fmt.Sprint("p", i))
		}
		m.split(late, 0)
		m.spread(m.procs, offset, inForceToday)
		// A process whose peers no longer hold the records takes a snapshot.
		m.log.SetDown(true)
		newest := m.start("newest", Sidecar, "z1")
		m.spread([]*proc{newest}, offset, inForceToday)
		m.Assert(newest.Stats().Fetches >= 1, qt.IsTrue)
		m.sameDigest(m.procs)
	})
}

func TestReadersOfEachZonePollTheLog(t *testing.T) {
	run(t, func(m *mesh) {
		entries := m.add(Entry, 24, 2)
		sides := m.add(Sidecar, 24, 2)
		time.Sleep(settle)
		before := map[string]int{}
		for _, p := range m.procs {
			before[p.Name] = p.log.count()
		}
		const minutes = 2
		time.Sleep(minutes * time.Minute)
		readers, stray := 0, 0
		for _, p := range m.procs {
			reads := p.log.count() - before[p.Name]
			if p.feed.Reader() {
				readers++
			} else {
				stray += reads
			}
		}
		m.Assert(readers, qt.Equals, 2*readersPerZone)
		perMinute := float64(stray) / minutes / float64(len(entries)+len(sides)-readers)
		m.Logf("reads a minute by a process that is no reader: %.2f", perMinute)
		m.Assert(perMinute < 6, qt.IsTrue, qt.Commentf("%.2f", perMinute))
	})
}

func TestReadersDeadOthersTailTheLog(t *testing.T) {
	run(t, func(m *mesh) {
		m.add(Entry, 12, 1)
		time.Sleep(settle)
		var left []*proc
		for _, p := range m.procs {
			if p.feed.Reader() {
				m.kill(p)
			} else {
				left = append(left, p)
			}
		}
		time.Sleep(settle)
		offset := m.publishElsewhere("new")
		took := m.spread(left, offset, timing.InForceBound)
		m.Logf("readers dead: everywhere after %v", took)
	})
}

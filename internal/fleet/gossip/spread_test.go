package gossip

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// maxSpreadTime limits how long a configuration takes to reach every process of a fleet of the current size.
const maxSpreadTime = 3 * time.Second

// settleTime is how long a new mesh needs until every process has a configuration and its neighbours.
const settleTime = 5 * time.Second

// addCurrentFleet adds as many processes as the fleet has now and lets them settle.
func addCurrentFleet(m *mesh) (entries, sidecars []*proc) {
	entries = m.add(Entry, 8, 3)
	sidecars = m.add(Sidecar, 40, 3)
	time.Sleep(settleTime)
	return entries, sidecars
}

func TestConfigurationReachesEveryProcessWithLogUp(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := addCurrentFleet(m)
		var worst time.Duration
		for i := range 20 {
			var offset int64
			if i%2 == 0 {
				offset = m.publish(entries[i%len(entries)], fmt.Sprint("p", i))
			} else {
				offset = m.publishElsewhere(fmt.Sprint("p", i))
			}
			worst = max(worst, m.waitForOffset(m.procs, offset, maxSpreadTime))
		}
		m.assertSameDigest(m.procs)
		m.Logf("48 processes, log up: in force everywhere after at most %v", worst)
	})
}

func TestConfigurationReachesEveryProcessWithLogDown(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := addCurrentFleet(m)
		for i := range 10 {
			// Only one entry reads back its own append before the log becomes unavailable.
			for _, p := range m.procs {
				p.log.setCut(p != entries[i%len(entries)])
			}
			offset := m.publish(entries[i%len(entries)], fmt.Sprint("p", i))
			m.log.SetDown(true)
			took := m.waitForOffset(m.procs, offset, maxSpreadTime)
			m.log.SetDown(false)
			m.Logf("48 processes, log down: everywhere after %v", took)
		}
		m.assertSameDigest(m.procs)
	})
}

func TestPartitionHeals(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := addCurrentFleet(m)
		var isolated, rest []*proc
		for _, p := range m.procs {
			if p.Zone == "z0" {
				m.setPartition(p, 1)
				p.log.setCut(true)
				isolated = append(isolated, p)
			} else {
				rest = append(rest, p)
			}
		}
		before := isolated[0].offset()
		var offset int64
		for i := range 5 {
			offset = m.publish(entries[1], fmt.Sprint("p", i))
		}
		m.waitForOffset(rest, offset, maxSpreadTime)
		time.Sleep(2 * time.Minute)
		for _, p := range isolated {
			m.Assert(p.offset(), qt.Equals, before)
			m.Assert(p.feed.Ready(), qt.IsNil)
			m.setPartition(p, 0)
		}
		took := m.waitForOffset(m.procs, offset, maxSpreadTime)
		m.assertSameDigest(m.procs)
		m.Logf("partition healed after %v, log still cut off for the zone", took)
	})
}

func TestBootstrapDuringOutageTakesTheNewestState(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := addCurrentFleet(m)
		// An entry of the same zone still answers, but with an old state.
		stale := entries[0]
		stale.stop()
		stale.done.Wait()
		offset := m.publish(entries[1], "new")
		m.waitForOffset(m.procs[1:], offset, maxSpreadTime)
		m.log.SetDown(true)
		m.Assert(stale.offset() < offset, qt.IsTrue)
		fresh := m.start("replaced", Entry, "z0")
		for fresh.feed.Ready() != nil {
			time.Sleep(time.Millisecond)
		}
		m.Assert(fresh.offset(), qt.Equals, offset)
	})
}

func TestProcessWithoutPeersStaysNotReadyDuringOutage(t *testing.T) {
	run(t, func(m *mesh) {
		m.log.SetDown(true)
		alone := m.start("alone", Entry, "z0")
		time.Sleep(time.Minute)
		m.Assert(alone.feed.Ready(), qt.IsNotNil)
		m.Assert(alone.NotReadyReason(), qt.Equals, "the host list shows no entry to ask")
		// Two processes without a configuration do not make each other ready.
		other := m.start("other", Entry, "z1")
		time.Sleep(time.Minute)
		m.Assert(alone.feed.Ready(), qt.IsNotNil)
		m.Assert(other.feed.Ready(), qt.IsNotNil)
		m.Assert(strings.Contains(other.NotReadyReason(), "asked 1 entries and none had a configuration"), qt.IsTrue,
			qt.Commentf("%s", other.NotReadyReason()))
		m.log.SetDown(false)
		time.Sleep(time.Minute)
		m.Assert(alone.feed.Ready(), qt.IsNil)
		m.Assert(other.NotReadyReason(), qt.Equals, "")
	})
}

func TestProcessFarBehindFetchesASnapshot(t *testing.T) {
	run(t, func(m *mesh) {
		entries, _ := addCurrentFleet(m)
		late := entries[7]
		m.setPartition(late, 1)
		late.log.setCut(true)
		var offset int64
		for i := range 3 * maxRecords {
			offset = m.publish(entries[0], fmt.Sprint("p", i))
		}
		m.setPartition(late, 0)
		m.waitForOffset(m.procs, offset, maxSpreadTime)
		// A process whose peers no longer hold the records fetches a snapshot.
		m.log.SetDown(true)
		newest := m.start("newest", Sidecar, "z1")
		m.waitForOffset([]*proc{newest}, offset, maxSpreadTime)
		m.Assert(newest.Stats().Fetches >= 1, qt.IsTrue)
		m.assertSameDigest(m.procs)
	})
}

func TestReadersOfEachZonePollTheLog(t *testing.T) {
	run(t, func(m *mesh) {
		entries := m.add(Entry, 24, 2)
		sidecars := m.add(Sidecar, 24, 2)
		time.Sleep(settleTime)
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
		perMinute := float64(stray) / minutes / float64(len(entries)+len(sidecars)-readers)
		m.Logf("reads a minute by a process that is no reader: %.2f", perMinute)
		m.Assert(perMinute < 6, qt.IsTrue, qt.Commentf("%.2f", perMinute))
	})
}

func TestOthersReadTheLogWhenTheReadersFail(t *testing.T) {
	run(t, func(m *mesh) {
		m.add(Entry, 12, 1)
		time.Sleep(settleTime)
		var left []*proc
		for _, p := range m.procs {
			if p.feed.Reader() {
				m.kill(p)
			} else {
				left = append(left, p)
			}
		}
		time.Sleep(settleTime)
		offset := m.publishElsewhere("new")
		took := m.waitForOffset(left, offset, timing.MaxPropagationTime)
		m.Logf("readers dead: everywhere after %v", took)
	})
}

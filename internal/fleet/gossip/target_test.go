package gossip

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

var targetSize = flag.Bool("target", false, "run the test with as many processes as the target has")

// At the target size, a change that only the log holds reaches every process within its bound, few processes other than
// the readers read the log, and the gossip of an entry stays within its share.
func TestTargetSize(t *testing.T) {
	if !*targetSize {
		t.Skip("takes long; run with -target")
	}
	run(t, func(m *mesh) {
		m.add(Entry, targetEntries, targetZones)
		m.add(Sidecar, targetSidecars, targetZones)
		time.Sleep(2 * settleTime)
		before, traffic := m.logReads(), m.totals()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		reads := float64(m.logReads()-before) / seconds
		entry := m.totals()[Entry].per(traffic[Entry], targetEntries*seconds)
		sidecar := m.totals()[Sidecar].per(traffic[Sidecar], targetSidecars*seconds)
		took := m.waitForOffset(m.procs, m.publishElsewhere("new"), timing.MaxPropagationTime)
		m.Logf("360 entries and 660 sides: in force everywhere after %v; %.1f reads of the log a second; entry %.0f B/s, side %.0f B/s",
			took, reads, entry.bytes, sidecar.bytes)
		m.Assert(entry.bytes < budget*gossipShare, qt.IsTrue)
		m.Assert(sidecar.bytes < budget*gossipShare, qt.IsTrue)
	})
}

// logReads returns how many times all processes have read the log.
func (m *mesh) logReads() int {
	n := 0
	for _, p := range m.procs {
		n += p.log.count()
	}
	return n
}

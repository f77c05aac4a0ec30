package gossip

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// frameBytes is added to the size of each message for HTTP/2 frames, TCP and IP headers and acknowledgements.
	frameBytes = 210
	// packetBytes is the size of the TCP and IP headers of one packet.
	packetBytes = 52
	// packetsPerExchange counts the request, the reply and an acknowledgement of each.
	packetsPerExchange = 4
	// budget is what a process may spend on control traffic, in bytes a second.
	budget = 6000
	// gossipShare is the part of the budget for gossip; watches, log reads and the host list take the rest, see
	// docs/CAPACITY.md.
	gossipShare = 0.5

	targetEntries  = 360
	targetSidecars = 660
	targetZones    = 8
)

// rate is the traffic of a process per second in both directions, framing included.
type rate struct {
	messages float64
	bytes    float64
}

// measure runs an idle mesh and returns the mean rates of its entries and sidecars.
func measure(t *testing.T, entries, sidecars, zones int) (entry, sidecar rate) {
	run(t, func(m *mesh) {
		m.add(Entry, entries, zones)
		m.add(Sidecar, sidecars, zones)
		time.Sleep(settleTime)
		before := m.totals()
		const seconds = 30
		time.Sleep(seconds * time.Second)
		after := m.totals()
		entry = after[Entry].per(before[Entry], float64(entries)*seconds)
		sidecar = after[Sidecar].per(before[Sidecar], float64(sidecars)*seconds)
	})
	return entry, sidecar
}

// totals returns the traffic so far, summed over the processes of each role.
func (m *mesh) totals() map[Role]rate {
	out := map[Role]rate{}
	for _, p := range m.procs {
		s := p.Stats()
		r := out[p.role]
		messages := float64(s.SentMessages + s.ReceivedMessages)
		r.messages += messages
		r.bytes += float64(s.SentBytes+s.ReceivedBytes) + messages*frameBytes
		out[p.role] = r
	}
	return out
}

// per returns the increase since before, divided by n.
func (r rate) per(before rate, n float64) rate {
	return rate{(r.messages - before.messages) / n, (r.bytes - before.bytes) / n}
}

func TestTrafficAtTargetStaysWithinBudget(t *testing.T) {
	c := qt.New(t)
	// An entry's rate is a + b*sidecars/entries and does not grow with the number of entries; a sidecar's is constant.
	few, sidecar := measure(t, 24, 24, 4)
	many, sidecar2 := measure(t, 24, 96, 4)
	large, _ := measure(t, 96, 96, 8)
	// From few to many, each entry gets 3 more sidecars; from few to large, there are 72 more entries.
	slope := (many.bytes - few.bytes) / 3
	perEntry := (large.bytes - few.bytes) / 72
	atTarget := large.bytes + slope*(targetSidecars/float64(targetEntries)-1) + max(0, perEntry)*(targetEntries-96)
	t.Logf("entry: %.0f B/s at 24+24, %.0f at 24+96, %.0f at 96+96: %.0f B/s for each side an entry, %.2f for each entry",
		few.bytes, many.bytes, large.bytes, slope, perEntry)
	t.Logf("entry at 360+660: %.0f B/s; side: %.0f and %.0f B/s; messages a second: entry %.2f, side %.2f",
		atTarget, sidecar.bytes, sidecar2.bytes, large.messages, sidecar2.messages)
	c.Assert(atTarget < budget*gossipShare, qt.IsTrue, qt.Commentf("%.0f", atTarget))
	c.Assert(sidecar2.bytes < budget*gossipShare, qt.IsTrue, qt.Commentf("%.0f", sidecar2.bytes))
}

package node

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
)

// RegisterGauges registers gauges of the entry's state with m.
func (n *Node) RegisterGauges(m *meter.Meter) {
	m.GaugeFunc(meter.Spec{Name: "inFlight", Unit: "{request}", Help: "Requests in flight."},
		func(o meter.Observe) { o(int64(n.guard.InFlight())) })
	m.GaugeFunc(meter.Spec{Name: "configRevision", Unit: "{revision}", Help: "Configuration revision in force here."},
		func(o meter.Observe) { o(n.feed.Current().Revision()) })
	m.GaugeFunc(meter.Spec{Name: "configOffset", Unit: "{offset}", Help: "Offset of the configuration stream folded up to."},
		func(o meter.Observe) { o(n.feed.Current().Offset()) })
	m.GaugeFunc(meter.Spec{Name: "configAge", Unit: "ms", Help: "Age of the newest read of the log that the configuration covers."},
		func(o meter.Observe) {
			if fresh := n.feed.Fresh(); !fresh.IsZero() {
				o(time.Since(fresh).Milliseconds())
			}
		})
	m.GaugeFunc(meter.Spec{Name: "fingerprints", Unit: "{fingerprint}", Help: "Request fingerprints under suspicion or in quarantine."},
		func(o meter.Observe) { n.countMarks(o) })
	m.GaugeFunc(meter.Spec{Name: "ejectedUpstreams", Unit: "{upstream}", Help: "Upstreams that get no calls of this entry because they failed."},
		func(o meter.Observe) { o(int64(len(n.router.Ejected()))) })
	m.GaugeFunc(meter.Spec{Name: "connections", Unit: "{connection}", Help: "Open connections of callers."},
		func(o meter.Observe) { o(int64(n.intake.Connections())) })
	m.GaugeFunc(meter.Spec{Name: "memoryHeld", Unit: "By", Help: "Memory held for callers, by kind of holder."},
		func(o meter.Observe) { n.countMemory(o, func(used, _ int64) int64 { return used }) })
	m.GaugeFunc(meter.Spec{Name: "memoryLimit", Unit: "By", Help: "Memory that may be held for callers, by kind of holder."},
		func(o meter.Observe) { n.countMemory(o, func(_, limit int64) int64 { return limit }) })
	m.GaugeFunc(meter.Spec{Name: "upstreams", Unit: "{upstream}", Help: "Known upstreams by pool and state."},
		func(o meter.Observe) { countStates(n.links.View(), o) })
}

// countMemory reports a value of each part of the memory budget, if there is one.
func (n *Node) countMemory(o meter.Observe, value func(used, limit int64) int64) {
	for _, kind := range memory.Kinds {
		if used, limit := n.memory.Load(kind); limit > 0 {
			o(value(used, limit), meter.Label{Name: "kind", Value: string(kind)})
		}
	}
}

// countMarks reports the number of suspect and quarantined fingerprints by state.
func (n *Node) countMarks(o meter.Observe) {
	counts := map[string]int64{}
	for _, e := range n.marks.Load().List(time.Now()) {
		counts[string(e.State)]++
	}
	for state, count := range counts {
		o(count, meter.Label{Name: "state", Value: state})
	}
}

// countStates reports the number of upstreams by pool and state, also the zeros.
func countStates(v member.View, o meter.Observe) {
	for pool, ups := range v.Pools {
		counts := map[member.State]int64{member.Live: 0, member.Suspect: 0, member.Leaving: 0, member.Gone: 0}
		for _, u := range ups {
			counts[u.State]++
		}
		for state, count := range counts {
			o(count, meter.Label{Name: "pool", Value: pool}, meter.Label{Name: "state", Value: string(state)})
		}
	}
}

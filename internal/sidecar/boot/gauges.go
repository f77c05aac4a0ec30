package boot

import (
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/serve"
)

// gauges adds the side's state to its metrics.
func (s *Side) gauges() {
	s.meter.CounterFunc(meter.Spec{Name: "sideCalls", Unit: "{call}", Help: "Calls of entries by what became of them."},
		func(o meter.Observe) { observeCalls(s.server.Counts(), o) })
	s.meter.CounterFunc(meter.Spec{Name: "sideFaults", Unit: "{fault}", Help: "Faults of the upstream by kind."},
		func(o meter.Observe) { observeFaults(s.server.Counts(), o) })
	s.meter.GaugeFunc(meter.Spec{Name: "sideRunning", Unit: "{call}", Help: "Calls running on the upstream."},
		func(o meter.Observe) { o(s.server.Counts().Running) })
	s.meter.GaugeFunc(meter.Spec{Name: "sideQueued", Unit: "{call}", Help: "Calls waiting for the upstream."},
		func(o meter.Observe) { o(s.server.Counts().Queued) })
	s.meter.GaugeFunc(meter.Spec{Name: "sideLimit", Unit: "{call}", Help: "Calls that may run on the upstream at once."},
		func(o meter.Observe) { o(s.server.Counts().Limit) })
	s.meter.GaugeFunc(meter.Spec{Name: "sideRemembered", Unit: "{attempt}", Help: "Attempts and tombstones held in memory."},
		func(o meter.Observe) { o(s.server.Counts().Remembered) })
}

// claims adds the state of the action stream, for a side beside a plain service.
func (s *Side) claims() {
	s.meter.GaugeFunc(meter.Spec{Name: "sideActions", Unit: "{action}", Help: "Actions remembered from the action stream."},
		func(o meter.Observe) { o(s.server.Counts().Stream.Actions) })
	s.meter.GaugeFunc(meter.Spec{Name: "sidePendingRecords", Unit: "{record}", Help: "Claims, outcomes and releases that wait for the log."},
		func(o meter.Observe) { o(s.server.Counts().Stream.Pending) })
	s.meter.CounterFunc(meter.Spec{Name: "sideAppends", Unit: "{append}", Help: "Appends to the action stream."},
		func(o meter.Observe) { o(s.server.Counts().Stream.Appends) })
}

func observeCalls(c serve.Counts, o meter.Observe) {
	for _, v := range []struct {
		result string
		count  int64
	}{
		{"received", c.Received}, {"admitted", c.Admitted}, {"refused", c.Refused}, {"dispatched", c.Dispatched},
		{"whole", c.Whole}, {"failed", c.Failed}, {"replayed", c.Replayed}, {"duplicate", c.Duplicates},
		{"tombstoned", c.Tombstoned}, {"canceled", c.Canceled},
	} {
		o(v.count, meter.Label{Name: "result", Value: v.result})
	}
}

func observeFaults(c serve.Counts, o meter.Observe) {
	for _, v := range []struct {
		kind  string
		count int64
	}{
		{"stray", c.Strays}, {"crash", c.Crashes}, {"silence", c.Silences}, {"rerun", c.Rerun},
	} {
		o(v.count, meter.Label{Name: "kind", Value: v.kind})
	}
}

package boot

import (
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/serve"
)

// registerMetrics registers the metrics of every side.
func (s *Side) registerMetrics() {
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

// registerActionMetrics registers the metrics of the action stream, for the side of a plain service.
func (s *Side) registerActionMetrics() {
	s.meter.GaugeFunc(meter.Spec{Name: "sideActions", Unit: "{action}", Help: "Actions remembered from the action stream."},
		func(o meter.Observe) { o(s.server.Counts().Stream.Actions) })
	s.meter.GaugeFunc(meter.Spec{Name: "sidePendingRecords", Unit: "{record}",
		Help: "Claims, outcomes and releases that wait for the log."},
		func(o meter.Observe) { o(s.server.Counts().Stream.Pending) })
	s.meter.CounterFunc(meter.Spec{Name: "sideAppends", Unit: "{append}", Help: "Appends to the action stream."},
		func(o meter.Observe) { o(s.server.Counts().Stream.Appends) })
}

// observeCalls reports the calls by result.
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

// observeFaults reports the faults of the upstream by kind.
func observeFaults(c serve.Counts, o meter.Observe) {
	for _, v := range []struct {
		kind  string
		count int64
	}{
		{"stray", c.StrayAnswers}, {"crash", c.Crashes}, {"silence", c.SilentConnections}, {"rerun", c.Reruns},
	} {
		o(v.count, meter.Label{Name: "kind", Value: v.kind})
	}
}

package stats

import (
	"strconv"

	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
)

// registerUse registers the gauges by pool, rank and engine, which only a leader reports.
func registerUse(m *meter.Meter, state func() Gauges) {
	gauge := func(name, unit, help string, read func(Gauges, meter.Observe)) {
		m.GaugeFunc(meter.Spec{Name: name, Unit: unit, Help: help}, func(o meter.Observe) { read(state(), o) })
	}
	gauge("edge.poolUpstreams", "{upstream}", "Upstreams of stage pools by what they do.", func(s Gauges, o meter.Observe) {
		for _, p := range s.Pools {
			for state, n := range p.Upstreams {
				o(int64(n), label("pool", p.Pool), label("state", state))
			}
		}
	})
	byRank := func(name, help string, pieces func(PoolUse) map[int]int) {
		gauge(name, "{piece}", help, func(s Gauges, o meter.Observe) {
			for _, p := range s.Pools {
				for rank, n := range pieces(p) {
					o(int64(n), label("pool", p.Pool), label("rank", strconv.Itoa(rank)))
				}
			}
		})
	}
	byRank("edge.waitingPieces", "Pieces that wait for a call, by pool and rank.",
		func(p PoolUse) map[int]int { return p.Waiting })
	byRank("edge.runningPieces", "Pieces in calls, by pool and rank.", func(p PoolUse) map[int]int { return p.Running })
	byEngine := func(name, unit, help string, value func(EngineUse) int) {
		gauge(name, unit, help, func(s Gauges, o meter.Observe) {
			for _, e := range s.Engines {
				o(int64(value(e)), label("pool", e.Pool), label("engine", e.Engine))
			}
		})
	}
	byEngine("edge.engineRequests", "{request}", "Requests that run on an engine.", func(e EngineUse) int { return e.Requests })
	byEngine("edge.engineFreeSlots", "{request}", "Requests that an engine can take beside those that run.",
		func(e EngineUse) int { return e.FreeSlots })
	byEngine("edge.engineRate", "{token}/s", "Prompt tokens that an engine is expected to read in a second.",
		func(e EngineUse) int { return e.Rate })
	byEngine("edge.engineBacklog", "ms", "Expected time to read the prompts that wait on an engine.",
		func(e EngineUse) int { return int(e.Backlog.Milliseconds()) })
	byEngine("edge.engineFreeTokens", "{token}", "Tokens of memory that an engine has left.",
		func(e EngineUse) int { return e.FreeTokens })
}

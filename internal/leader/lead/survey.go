package lead

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

const surveyInterval = 1 * time.Second // between surveys of the pools

// Occupancy is the use of the stage pools and engines by the orders of a Coordinator.
type Occupancy struct {
	Pools   []stats.PoolUse
	Engines []stats.EngineUse
}

// Occupancy returns the newest survey; it is empty while there are no orders.
func (c *Coordinator) Occupancy() Occupancy {
	if o := c.occupancy.Load(); o != nil {
		return *o
	}
	return Occupancy{}
}

// survey publishes what pools and engines do.
func (c *Coordinator) survey(now time.Time) {
	o := &Occupancy{}
	if len(c.orders) == 0 || c.hosts == nil {
		c.occupancy.Store(o)
		return
	}
	for _, d := range c.scheduler.Demands(now) {
		o.Pools = append(o.Pools, stats.PoolUse{
			Pool: d.Pool, Waiting: d.Waiting, Running: d.Running,
			Upstreams: map[string]int{"free": d.Free, "busy": d.Busy, "slow": d.Slow, "paused": d.Paused},
		})
	}
	for _, l := range c.placer.Loads() {
		u, listed := c.hosts.Get(l.ID)
		if !listed {
			continue
		}
		spec := c.engineSpec(u.Pool)
		o.Engines = append(o.Engines, stats.EngineUse{
			Pool: u.Pool, Engine: l.ID, Requests: l.Running, FreeSlots: max(0, spec.Slots-l.Running),
			FreeTokens: max(0, spec.Tokens-l.Reserved), Rate: int(1000 * l.Rate), Backlog: l.Backlog,
		})
	}
	c.occupancy.Store(o)
}

// logRefusal logs who was refused, and what waits and runs in the pools that the request needs, out of all demands.
func (c *Coordinator) logRefusal(o *openOrder, r sched.Refusal, all []sched.Demand, now time.Time) {
	var pools []string
	for _, s := range o.order.Job.Stages {
		if s.Pieces > 0 {
			pools = append(pools, s.Pool)
		}
	}
	var demands demandFields
	for _, d := range all {
		if slices.Contains(pools, d.Pool) {
			demands = append(demands, d)
		}
	}
	c.opts.Log.Info("refused", zap.String("request", o.order.Job.RequestID), zap.String("reason", string(r.Reason)),
		zap.Int("rank", o.order.Job.Rank), zap.Duration("retryAfter", r.RetryAfter),
		zap.Duration("age", now.Sub(o.order.Job.Arrived)), zap.Array("pools", demands))
}

// demandFields describes demands in a log line.
type demandFields []sched.Demand

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (f demandFields) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, d := range f {
		if err := e.AppendObject(zapcore.ObjectMarshalerFunc(func(e zapcore.ObjectEncoder) error {
			e.AddString("pool", d.Pool)
			e.AddInt("free", d.Free)
			e.AddInt("busy", d.Busy)
			_ = e.AddReflected("waiting", d.Waiting)
			_ = e.AddReflected("running", d.Running)
			return e.AddReflected("holders", d.Holders)
		})); err != nil {
			return err
		}
	}
	return nil
}

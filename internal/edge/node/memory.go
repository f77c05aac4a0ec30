package node

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
	"github.com/ragworthatch/ragworthatch/platform"
)

// upstreamReceiveBytes is the receive buffer of connections to upstreams where memory is bounded. Unbounded, the kernel lets
// it grow to 6 MB.
const upstreamReceiveBytes = 64 << 10

// boundMemory sets up the memory of callers' requests and the bounds of their connections.
func (n *Node) boundMemory(s platform.Settings) {
	if s.MemoryBytes > 0 {
		n.memory = memory.New(s.MemoryBytes)
		memory.LimitRuntime(s.MemoryBytes)
		n.client.LimitReceiveBuffer(upstreamReceiveBytes)
	}
	n.intake = intake.New(intake.Options{
		Limits: n.intakeLimits, Budget: n.memory,
		Refused: func(r intake.Reason) { n.stats.ClientRefused(string(r)) },
		Now:     time.Now, Log: n.log.Named("intake"),
	})
}

// resizeMemory applies a new memory limit. One that comes or goes takes effect at the next start.
func (n *Node) resizeMemory(s platform.Settings) {
	if n.memory != nil && s.MemoryBytes > 0 {
		n.memory.Resize(s.MemoryBytes)
		memory.LimitRuntime(s.MemoryBytes)
	}
}

// intakeLimits returns the limits of the configuration in force and of the settings.
func (n *Node) intakeLimits() intake.Limits {
	rules, s := n.watch.Rules().Limits(), n.settings.Load()
	return intake.Limits{
		HeadBytes: rules.HeaderBytes, BodyBytes: rules.BodyBytes, HeadTimeout: rules.HeaderTimeout,
		IdleTimeout: rules.IdleTimeout, BodyTimeout: s.BodyTimeout, WriteTimeout: s.WriteTimeout, Wait: s.BodyWait,
		Connections: intake.MaxConnections(s.Connections, s.Descriptors),
	}
}

// heldMemory returns the gauges of the memory budget.
func (n *Node) heldMemory() []stats.HeldMemory {
	var out []stats.HeldMemory
	for _, kind := range memory.Kinds {
		if used, limit := n.memory.Load(kind); limit > 0 {
			out = append(out, stats.HeldMemory{Kind: string(kind), Used: used, Limit: limit})
		}
	}
	return out
}

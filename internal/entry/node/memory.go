package node

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
	"github.com/ragworthatch/ragworthatch/internal/ops/listen"
)

const sweepEvery = time.Second // for the timeouts and the log line of clients

// boundMemory sets up the memory of callers' requests and the bounds of their connections.
func (n *Node) boundMemory() {
	if n.opts.MemoryBytes > 0 {
		n.memory = memory.New(n.opts.MemoryBytes)
		memory.LimitRuntime(n.opts.MemoryBytes)
	}
	limits := n.opts.Limits
	limits.HeadBytes = cmp.Or(limits.HeadBytes, http.DefaultMaxHeaderBytes)
	limits.HeadTimeout = cmp.Or(limits.HeadTimeout, listen.DefaultHeaderTimeout)
	limits.IdleTimeout = cmp.Or(limits.IdleTimeout, listen.DefaultIdleTimeout)
	n.intake = intake.New(intake.Options{
		Limits: func() intake.Limits { return limits }, Budget: n.memory,
		Refused: func(r intake.Reason) {
			if n.opts.Metrics != nil {
				n.opts.Metrics.ClientRefused(string(r))
			}
		},
		Now: time.Now, Log: n.opts.Logger.Named("intake"),
	})
}

// sweep regularly checks the connections of clients until ctx ends.
func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.intake.Sweep()
		}
	}
}

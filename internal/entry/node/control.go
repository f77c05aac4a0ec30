package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/front"
	"github.com/ragworthatch/ragworthatch/internal/entry/index"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// warmUpTime is how long a starting entry waits for the pools that have no connection.
const warmUpTime = 5 * time.Second

// control is the goroutine that publishes what traffic reads.
func (n *Node) control(ctx context.Context) {
	for {
		changed := n.feed.Changed()
		n.publish()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-n.views:
		}
	}
}

// publish indexes a new configuration and gives the decisions of traffic their new snapshots.
func (n *Node) publish() {
	view := n.links.View()
	n.reindex(len(view.Entries))
	p, _ := n.index.Load().Set.Preset()
	n.policy.SetPreset(p)
	n.router.Update(view, p)
	n.warmUp(view)
}

// warmUp makes the entry ready once every pool has a connection, or some have after a while.
func (n *Node) warmUp(view member.View) {
	if n.warm.Load() || view.ListAt.IsZero() {
		return
	}
	if n.began.IsZero() {
		n.began = time.Now()
	}
	pools := n.index.Load().Set.Pools
	connected := 0
	for name := range pools {
		if n.connected(view.Usable(name)) {
			connected++
		}
	}
	patient := time.Since(n.began) < warmUpTime
	if connected == 0 || (connected < len(pools) && patient) {
		return
	}
	n.warm.Store(true)
	n.o.Logger.Info("connected", zap.Int("pools", len(pools)), zap.Int("connected", connected))
}

func (n *Node) connected(ups []member.Upstream) bool {
	for _, u := range ups {
		if _, ok := n.links.Client(u.Name); ok {
			return true
		}
	}
	return false
}

// reindex takes over a new revision, or another number of entries to share the limits with.
func (n *Node) reindex(entries int) {
	state := n.feed.Current()
	ix := n.index.Load()
	if ix.Revision == state.Revision() && n.entries == entries {
		return
	}
	if ix.Revision != state.Revision() {
		next := index.New(state.Config(), state.Revision())
		n.index.Update(func(*index.Index) *index.Index { return next })
	}
	n.entries = entries
	n.quota.SetLimits(n.index.Load().Set, max(1, entries), time.Now())
}

// poke tells the control goroutine of a new view; one that it has not seen yet is enough.
func (n *Node) poke() {
	select {
	case n.views <- struct{}{}:
	default:
	}
}

// ready returns why the entry can't take requests.
func (n *Node) ready() *fault.Error {
	if err := n.feed.Ready(); err != nil {
		return fault.New(fault.NotRun, fault.NotReady, "no configuration").WithCause(err).WithRetryAfter(time.Second)
	}
	if _, ok := n.index.Load().Set.Preset(); !ok {
		return fault.New(fault.NotRun, fault.NotReady, "no preset is in force").WithRetryAfter(time.Second)
	}
	if !n.warm.Load() {
		return fault.New(fault.NotRun, fault.NotReady, "no connection to the upstreams yet").WithRetryAfter(time.Second)
	}
	return nil
}

// CountAttempt counts the cost of an attempt, and what it says of the demand for a model.
func (n *Node) CountAttempt(r task.Request, c exec.Cost) {
	n.measure(r, c)
	if n.o.Metrics != nil {
		n.o.Metrics.CountAttempt(r, c)
	}
}

// Crashed records what was in flight when an upstream died.
func (n *Node) Crashed(c exec.Crash) {
	crash := poison.Crash{ID: c.ID, InFlight: int(c.InFlight)}
	n.marks.Update(func(s *poison.Set) *poison.Set { return s.WithCrash(time.Now(), crash, c.Fingerprint) })
}

// Suspicion says how a request with a fingerprint may run.
func (n *Node) Suspicion(fingerprint string) exec.Suspicion {
	switch n.marks.Load().State(fingerprint, time.Now()) {
	case poison.Quarantined:
		return exec.Quarantined
	case poison.Suspect:
		return exec.Suspect
	}
	return exec.Unsuspected
}

// Cleared takes a request that ran alone to its end: it did not cause the crashes known so far.
func (n *Node) Cleared(fingerprint string) {
	n.marks.Update(func(s *poison.Set) *poison.Set { return s.WithCompletion(time.Now(), fingerprint) })
}

// Finished counts a finished request.
func (n *Node) Finished(r front.Record) {
	if n.o.Metrics != nil {
		n.o.Metrics.Finished(r)
	}
}

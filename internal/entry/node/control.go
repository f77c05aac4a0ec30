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

// warmUpTime is how long, from its first view of the fleet, a starting entry waits for a connection to every pool
// before it is ready with those it has.
const warmUpTime = 5 * time.Second

// runControl is the control goroutine. It publishes new snapshots when the configuration or the fleet changes.
func (n *Node) runControl(ctx context.Context) {
	for {
		changed := n.feed.Changed()
		n.publish()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-n.viewChanged:
		}
	}
}

// publish passes the current configuration and fleet view to the index, the quota, the policy and the router.
func (n *Node) publish() {
	view := n.links.View()
	n.reindex(len(view.Entries))
	p, _ := n.index.Load().Set.Preset()
	n.policy.SetPreset(p)
	n.router.Update(view, p)
	n.warmUp(view)
}

// warmUp makes the entry ready once every pool has a connection, or at least one has after warmUpTime.
func (n *Node) warmUp(view member.View) {
	if n.warmedUp.Load() || view.ListAt.IsZero() {
		return
	}
	if n.firstViewAt.IsZero() {
		n.firstViewAt = time.Now()
	}
	pools := n.index.Load().Set.Pools
	connected := 0
	for name := range pools {
		if n.connected(view.Usable(name)) {
			connected++
		}
	}
	waiting := time.Since(n.firstViewAt) < warmUpTime
	if connected == 0 || (connected < len(pools) && waiting) {
		return
	}
	n.warmedUp.Store(true)
	n.opts.Logger.Info("connected", zap.Int("pools", len(pools)), zap.Int("connected", connected))
}

// connected reports whether the entry has a connection to any of the upstreams.
func (n *Node) connected(ups []member.Upstream) bool {
	for _, u := range ups {
		if _, ok := n.links.Client(u.Name); ok {
			return true
		}
	}
	return false
}

// reindex updates the index for a new configuration revision, and the quota also when the number of entries changes.
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

// notifyView tells the control goroutine about a new view; one pending notification is enough.
func (n *Node) notifyView() {
	select {
	case n.viewChanged <- struct{}{}:
	default:
	}
}

// ready returns why the entry can't serve requests, or nil.
func (n *Node) ready() *fault.Error {
	if err := n.feed.Ready(); err != nil {
		return fault.New(fault.NotRun, fault.NotReady, "no configuration").WithCause(err).WithRetryAfter(time.Second)
	}
	if _, ok := n.index.Load().Set.Preset(); !ok {
		return fault.New(fault.NotRun, fault.NotReady, "no preset is in force").WithRetryAfter(time.Second)
	}
	if !n.warmedUp.Load() {
		return fault.New(fault.NotRun, fault.NotReady, "no connection to the upstreams yet").WithRetryAfter(time.Second)
	}
	return nil
}

// CountAttempt records the cost of an attempt in the metrics and in the demand for its model.
func (n *Node) CountAttempt(r task.Request, c exec.Cost) {
	n.countDemand(r, c)
	if n.opts.Metrics != nil {
		n.opts.Metrics.CountAttempt(r, c)
	}
}

// Crashed records that a request was in flight when an upstream crashed.
func (n *Node) Crashed(c exec.Crash) {
	crash := poison.Crash{ID: c.ID, InFlight: int(c.InFlight)}
	n.marks.Update(func(s *poison.Set) *poison.Set { return s.WithCrash(time.Now(), crash, c.Fingerprint) })
}

// Suspicion returns the current state of a fingerprint.
func (n *Node) Suspicion(fingerprint string) exec.Suspicion {
	switch n.marks.Load().State(fingerprint, time.Now()) {
	case poison.Quarantined:
		return exec.Quarantined
	case poison.Suspect:
		return exec.Suspect
	}
	return exec.Unsuspected
}

// Cleared records that a request finished while it ran alone, so it did not cause the crashes known so far.
func (n *Node) Cleared(fingerprint string) {
	n.marks.Update(func(s *poison.Set) *poison.Set { return s.WithCompletion(time.Now(), fingerprint) })
}

// Finished records a finished request in the metrics.
func (n *Node) Finished(r front.Record) {
	if n.opts.Metrics != nil {
		n.opts.Metrics.Finished(r)
	}
}

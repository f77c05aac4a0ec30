package node

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// Run serves until stop is done or an operator drains the entry, and then until the requests in flight have finished.
// When kill is done, it aborts them and returns at once.
func (n *Node) Run(stop, kill context.Context) error {
	background, cancel := context.WithCancel(kill)
	defer cancel()
	g, background := errgroup.WithContext(background)
	g.Go(func() error { n.feed.Run(background); return nil })
	g.Go(func() error { return n.links.Run(background) })
	g.Go(func() error { n.runControl(background); return nil })
	g.Go(func() error { n.sweep(background); return nil })
	g.Go(func() error { return n.gossip.Run(background) })
	g.Go(func() error { return n.runPlacement(background) })
	g.Go(func() error { return n.peers.Serve(n.peersLn) })
	g.Go(n.http.Serve)
	g.Go(func() error {
		defer cancel()
		n.awaitDrain(stop, background)
		n.peers.Stop()
		return n.http.Close()
	})
	n.opts.Logger.Info("entry serves", zap.String("address", n.Address()))
	return g.Wait()
}

// awaitDrain waits for a stop or a drain and then for the requests in flight; it returns early when kill is done.
func (n *Node) awaitDrain(stop, kill context.Context) {
	select {
	case <-stop.Done():
	case <-n.drainRequested:
	case <-kill.Done():
		return
	}
	drained := n.guard.Drain()
	n.opts.Logger.Info("draining", zap.Int("inFlight", n.guard.InFlight()))
	// The load balancer needs time to notice that the entry is not ready; until then requests are refused with a verdict.
	select {
	case <-time.After(timing.MaxLeavingTime):
	case <-kill.Done():
		return
	}
	select {
	case <-drained:
	case <-kill.Done():
		return
	}
	if err := n.http.Shutdown(kill); err != nil {
		n.opts.Logger.Warn("connections cut before they were idle", zap.Error(err))
	}
	n.opts.Logger.Info("drained")
}

// startDrain drains the entry for an operator and returns the number of requests in flight. Run returns when they have
// finished.
func (n *Node) startDrain() int {
	n.guard.Drain()
	n.drainOnce.Do(func() { close(n.drainRequested) })
	return n.guard.InFlight()
}

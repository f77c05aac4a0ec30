package node

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// Run serves until stop ends or an operator drains the entry, and the requests in flight
// are done; it returns at once, cutting them, when kill ends.
func (n *Node) Run(stop, kill context.Context) error {
	background, cancel := context.WithCancel(kill)
	defer cancel()
	g, background := errgroup.WithContext(background)
	g.Go(func() error { n.feed.Run(background); return nil })
	g.Go(func() error { return n.links.Run(background) })
	g.Go(func() error { n.control(background); return nil })
	g.Go(func() error { return n.gossip.Run(background) })
	g.Go(func() error { return n.place(background) })
	g.Go(func() error { return n.peers.Serve(n.peersLn) })
	g.Go(n.http.Serve)
	g.Go(func() error {
		defer cancel()
		n.awaitDrain(stop, background)
		n.peers.Stop()
		return n.http.Close()
	})
	n.o.Zap.Info("entry serves", zap.String("address", n.Address()))
	return g.Wait()
}

// awaitDrain returns when the process may end.
func (n *Node) awaitDrain(stop, ended context.Context) {
	select {
	case <-stop.Done():
	case <-n.leave:
	case <-ended.Done():
		return
	}
	empty := n.guard.Drain()
	n.o.Zap.Info("draining", zap.Int("inFlight", n.guard.InFlight()))
	// The balancer needs time to see that the entry is not ready; until then requests are refused with a verdict.
	select {
	case <-time.After(timing.MaxLeavingTime):
	case <-ended.Done():
		return
	}
	select {
	case <-empty:
	case <-ended.Done():
		return
	}
	if err := n.http.Shutdown(ended); err != nil {
		n.o.Zap.Warn("connections cut", zap.Error(err))
	}
	n.o.Zap.Info("drained")
}

// startDrain is an operator's drain: Run returns when the requests in flight are done.
func (n *Node) startDrain() int {
	n.guard.Drain()
	n.once.Do(func() { close(n.leave) })
	return n.guard.InFlight()
}

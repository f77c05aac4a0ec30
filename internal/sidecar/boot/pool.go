package boot

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fleet/gossip"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosts"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/serve"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
)

// listInterval is how often a side reads the host list, which it needs only to find entries.
const listInterval = 10 * timing.HostListInterval

// entries are the entries that a side may ask.
type entries struct {
	mu    sync.Mutex
	table *member.Table
}

// follow starts what keeps the configuration current: the entries are asked, and the log only when none answers.
func (s *Side) follow(ctx context.Context) {
	go s.listEntries(ctx)
	go s.feed.Run(ctx)
	go func() { _ = s.gossip.Run(ctx) }()
}

func (s *Side) gossipOptions() gossip.Options {
	s.entries.table = member.New(member.Options{})
	return gossip.Options{
		Name:  s.settings.Name,
		Role:  gossip.Sidecar,
		Zone:  s.settings.Zone,
		Feed:  s.feed,
		Peers: s.known,
		Dial:  gossip.Dial,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:   s.zap,
	}
}

func (s *Side) known() []gossip.Peer {
	s.entries.mu.Lock()
	defer s.entries.mu.Unlock()
	return gossip.KnownPeers(s.entries.table.View(time.Now()), s.settings.Peers)
}

// listEntries reads the host list; an error tells nothing and changes nothing.
func (s *Side) listEntries(ctx context.Context) {
	for {
		s.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(hosts.Interval(s.hosts, s.listWait())):
		}
	}
}

// listWait is short while there is no entry to ask.
func (s *Side) listWait() time.Duration {
	if len(s.known()) == 0 {
		return timing.HostListInterval
	}
	return listInterval
}

func (s *Side) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, timing.HostListInterval)
	defer cancel()
	list, err := s.hosts.Hosts(ctx)
	if err != nil {
		s.zap.Debug("host list does not answer", zap.Error(err))
		return
	}
	s.entries.mu.Lock()
	defer s.entries.mu.Unlock()
	s.entries.table = s.entries.table.WithList(time.Now(), list)
}

// awaitPool waits until the configuration declares the side's pool.
func (s *Side) awaitPool(ctx context.Context) (pool.Spec, error) {
	said := false
	for {
		changed := s.feed.Changed()
		if spec, ok := s.declared(s.feed.Current()); ok {
			return spec, nil
		}
		if !said {
			s.zap.Warn("waiting for the configuration to declare the pool", zap.String("pool", s.settings.Pool))
			said = true
		}
		select {
		case <-ctx.Done():
			return pool.Spec{}, fmt.Errorf("pool %q is not declared: %w", s.settings.Pool, ctx.Err())
		case <-changed:
		}
	}
}

// declared is the side's pool in a configuration.
func (s *Side) declared(state *fold.State) (pool.Spec, bool) {
	object, ok := state.Spec(config.Ref{Kind: config.Pools, Name: s.settings.Pool})
	if !ok {
		return pool.Spec{}, false
	}
	spec, ok := object.(pool.Spec)
	return spec, ok
}

// adopt hands each new configuration to the server; a pool that is no longer declared keeps its last settings.
func (s *Side) adopt(ctx context.Context) {
	spec := pool.Spec{}
	for {
		changed := s.feed.Changed()
		state := s.feed.Current()
		if declared, ok := s.declared(state); ok {
			spec = declared
		}
		s.server.Use(serve.Config{Offset: state.Offset(), Revision: state.Revision(), Digest: gossip.ShortDigest(state.Digest()), Pool: spec})
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

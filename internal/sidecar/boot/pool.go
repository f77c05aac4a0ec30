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

// listInterval is how often a side reads the host list while it knows an entry; it uses the list only to find entries.
const listInterval = 10 * timing.HostListInterval

// entryTable holds the entries that a side may gossip with.
type entryTable struct {
	mu    sync.Mutex
	table *member.Table
}

// followConfig starts the goroutines that keep the configuration current. The entries are asked for it, and the log is
// read only when none of them answers.
func (s *Side) followConfig(ctx context.Context) {
	go s.refreshEntries(ctx)
	go s.feed.Run(ctx)
	go func() { _ = s.gossip.Run(ctx) }()
}

// gossipOptions returns the options for gossiping the configuration with the entries, and makes the table of entries.
func (s *Side) gossipOptions() gossip.Options {
	s.entries.table = member.New(member.Options{})
	return gossip.Options{
		Name:  s.settings.Name,
		Role:  gossip.Sidecar,
		Zone:  s.settings.Zone,
		Feed:  s.feed,
		Peers: s.knownPeers,
		Dial:  gossip.Dial,
		Rand:  rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Log:   s.zap,
	}
}

// knownPeers returns the entries of the host list, and those of the settings that the list lacks.
func (s *Side) knownPeers() []gossip.Peer {
	s.entries.mu.Lock()
	defer s.entries.mu.Unlock()
	return gossip.KnownPeers(s.entries.table.View(time.Now()), s.settings.Peers)
}

// refreshEntries reads the host list until ctx ends; a failed read leaves the known entries as they are.
func (s *Side) refreshEntries(ctx context.Context) {
	for {
		s.readList(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(hosts.Interval(s.hosts, s.nextListInterval())):
		}
	}
}

// nextListInterval returns the wait before the next read of the host list, which is shorter while no entry is known.
func (s *Side) nextListInterval() time.Duration {
	if len(s.knownPeers()) == 0 {
		return timing.HostListInterval
	}
	return listInterval
}

// readList reads the host list once and updates the table of entries.
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
	warned := false
	for {
		changed := s.feed.Changed()
		if spec, ok := s.poolIn(s.feed.Current()); ok {
			return spec, nil
		}
		if !warned {
			s.zap.Warn("waiting for the configuration to declare the pool", zap.String("pool", s.settings.Pool))
			warned = true
		}
		select {
		case <-ctx.Done():
			return pool.Spec{}, fmt.Errorf("pool %q is not declared: %w", s.settings.Pool, ctx.Err())
		case <-changed:
		}
	}
}

// poolIn returns the side's pool in a configuration.
func (s *Side) poolIn(state *fold.State) (pool.Spec, bool) {
	object, ok := state.Spec(config.Ref{Kind: config.Pools, Name: s.settings.Pool})
	if !ok {
		return pool.Spec{}, false
	}
	spec, ok := object.(pool.Spec)
	return spec, ok
}

// applyConfigs passes each new configuration to the server; a pool that is no longer declared keeps its last settings.
func (s *Side) applyConfigs(ctx context.Context) {
	spec := pool.Spec{}
	for {
		changed := s.feed.Changed()
		state := s.feed.Current()
		if declared, ok := s.poolIn(state); ok {
			spec = declared
		}
		s.server.ApplyConfig(serve.Config{Offset: state.Offset(), Revision: state.Revision(),
			Digest: gossip.ShortDigest(state.Digest()), Pool: spec})
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

package boot

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

const (
	learnInterval = 500 * time.Millisecond
	learnTimeout  = 2 * time.Second
	// maxSnapshot bounds the configuration that an entry sends, in bytes.
	maxSnapshot = 64 << 20
)

// learnPool waits until the configuration declares the side's pool. It asks the entries
// first, as at hundreds of sides the log must not serve them all.
func (s *Side) learnPool(ctx context.Context) (pool.Spec, error) {
	f := feed.New(s.log, feed.Options{Author: s.settings.Name}, s.zap)
	said := false
	for {
		if !s.askPeers(ctx, f) {
			_ = f.Poll(ctx) // the next round tries again
		}
		if spec, ok := f.Current().Config().Pools[s.settings.Pool]; ok {
			return spec, nil
		}
		if !said {
			s.zap.Warn("waiting for the configuration to declare the pool", zap.String("pool", s.settings.Pool))
			said = true
		}
		select {
		case <-ctx.Done():
			return pool.Spec{}, fmt.Errorf("pool %q is not declared: %w", s.settings.Pool, ctx.Err())
		case <-time.After(learnInterval):
		}
	}
}

// askPeers takes over the first configuration that an entry sends.
func (s *Side) askPeers(ctx context.Context, f *feed.Feed) bool {
	for _, address := range s.entries(ctx) {
		snapshot, err := fetch(ctx, address)
		if err != nil {
			s.zap.Debug("entry sent no configuration", zap.String("entry", address), zap.Error(err))
			continue
		}
		if taken, err := f.OfferSnapshot(snapshot); err == nil && taken {
			return true
		}
	}
	return false
}

// entries are the entries that the settings or the host list name.
func (s *Side) entries(ctx context.Context) []string {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	out := s.settings.Peers
	listed, err := s.hosts.Hosts(ctx)
	if err != nil {
		return out
	}
	for _, h := range listed {
		if h.Pool == "" {
			out = append(out[:len(out):len(out)], h.Address)
		}
	}
	return out
}

func fetch(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxSnapshot)))
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reply, err := peerpb.NewPeerClient(conn).Fetch(ctx, &peerpb.FetchRequest{})
	if err != nil {
		return nil, err
	}
	return reply.GetSnapshot(), nil
}

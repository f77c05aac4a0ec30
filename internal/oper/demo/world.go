package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/ragworthatch/ragworthatch/internal/entry/node"
	"github.com/ragworthatch/ragworthatch/internal/fake/engine"
	"github.com/ragworthatch/ragworthatch/internal/fake/httpd"
	"github.com/ragworthatch/ragworthatch/internal/fake/member"
	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fake/plain"
	"github.com/ragworthatch/ragworthatch/internal/fake/roster"
	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/oper/setup"
	"github.com/ragworthatch/ragworthatch/internal/plat/hostcl"
	"github.com/ragworthatch/ragworthatch/internal/plat/logcl"
	"github.com/ragworthatch/ragworthatch/internal/plat/runner"
	"github.com/ragworthatch/ragworthatch/internal/side/boot"
)

const (
	anyPort      = "127.0.0.1:0"
	zonesOfDemo  = 3
	runnersOf    = 3 // upstreams of each pool, one a zone
	callersToken = "collectors-token"
	opsToken     = "operators-token"
)

// World is the system and its stand-ins on loopback.
type World struct {
	log      *memlog.Log
	list     *roster.List
	logAt    string
	listAt   string
	entries  []*node.Node
	engines  []*engine.Engine
	members  []*member.Member
	services []*plain.Service
	group    *errgroup.Group
	zap      *zap.Logger
}

// Build starts stand-ins, sides and entries; they end with ctx.
func Build(ctx context.Context, log *zap.Logger) (*World, error) {
	w := &World{log: memlog.New(), list: roster.New(0), zap: log}
	w.group, ctx = errgroup.WithContext(ctx)
	var err error
	if w.logAt, err = w.stand(ctx, httpd.Log(w.log)); err != nil {
		return nil, err
	}
	if w.listAt, err = w.stand(ctx, httpd.Hosts(w.list)); err != nil {
		return nil, err
	}
	if err := w.upstreams(ctx); err != nil {
		return nil, err
	}
	return w, w.addEntries(ctx)
}

// stand serves a stand-in over HTTP until ctx ends.
func (w *World) stand(ctx context.Context, h http.Handler) (string, error) {
	s, err := httpd.New(anyPort, h)
	if err != nil {
		return "", err
	}
	context.AfterFunc(ctx, s.Down)
	return s.Address(), nil
}

func (w *World) upstreams(ctx context.Context) error {
	for i := range runnersOf {
		zone := zoneName(i)
		e := engine.New(engine.Config{
			Concurrency: 8, Prefill: 10 * time.Microsecond, Decode: 2 * time.Millisecond,
			CachedPrefixes: 64, ChecksFence: true, State: runner.State{Model: "summarizer"},
		})
		w.engines = append(w.engines, e)
		if err := w.addSide(ctx, "runners", zone, httpd.Engine(e, e)); err != nil {
			return err
		}
		for _, pool := range []string{"encoders", "retrievers", "rerankers"} {
			m := member.New(16, 3*time.Millisecond)
			w.members = append(w.members, m)
			if err := w.addSide(ctx, pool, zone, httpd.Upstream(m)); err != nil {
				return err
			}
		}
		s := plain.New(8, 5*time.Millisecond)
		w.services = append(w.services, s)
		if err := w.addSide(ctx, "ledger", zone, httpd.Upstream(s)); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) addSide(ctx context.Context, pool, zone string, h http.Handler) error {
	upstream, err := w.stand(ctx, h)
	if err != nil {
		return err
	}
	name := pool + "-" + zone
	s, err := boot.New(setup.Side{
		Place:    setup.Place{Name: name, Zone: zone, GRPC: anyPort, Log: w.logAt, HostList: w.listAt},
		Pool:     pool,
		Upstream: upstream,
	}, w.zap)
	if err != nil {
		return err
	}
	w.list.Put(host.Host{Name: name, Address: s.Address(), Zone: zone, Pool: pool, State: host.Live})
	w.group.Go(func() error { return s.Run(ctx, ctx) })
	return nil
}

func (w *World) addEntries(ctx context.Context) error {
	for i := range 2 {
		n, err := node.New(node.Options{
			Name:          fmt.Sprintf("entry-%d", i+1),
			Zone:          zoneName(i),
			HTTP:          anyPort,
			OperatorToken: digest(opsToken),
			Log:           logcl.New(w.logAt),
			List:          hostcl.New(w.listAt),
			Dial:          link.Dial,
			Zap:           w.zap,
		})
		if err != nil {
			return err
		}
		w.entries = append(w.entries, n)
		w.group.Go(func() error { return n.Run(ctx, ctx) })
	}
	return nil
}

func zoneName(i int) string { return string(rune('a' + i%zonesOfDemo)) }

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

package boot

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/fleet/gossip"
	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosthttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosts"
	"github.com/ragworthatch/ragworthatch/internal/infra/loghttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/infra/runnerhttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstreamhttp"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/ops/listen"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/serve"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const (
	// maxMessageBytes bounds a received gRPC message.
	maxMessageBytes = 16 << 20
	// finishTimeout bounds the wait for the connections to end after a drain.
	finishTimeout = 2 * time.Second
)

// Side is one side process.
type Side struct {
	settings      setup.Side
	log           logs.Service
	hosts         hosts.List
	zap           *zap.Logger
	listener      net.Listener
	meter         *meter.Meter
	metrics       *listen.Server // nil when the settings name no address
	feed          *feed.Feed
	gossip        *gossip.Node
	entries       entryTable
	server        *serve.Server
	engineOptions serve.Options // of the side of a model engine; otherwise empty
	grpc          *grpc.Server
}

// New returns a side that listens on its address and serves nothing before Run.
func New(settings setup.Side, log *zap.Logger) (*Side, error) {
	l, err := net.Listen("tcp", settings.GRPC)
	if err != nil {
		return nil, fmt.Errorf("grpc address %s: %w", settings.GRPC, err)
	}
	s := &Side{
		settings: settings,
		log:      loghttp.New(settings.Log),
		hosts:    hosthttp.New(settings.HostList),
		zap:      log.With(zap.String("side", settings.Name), zap.String("pool", settings.Pool)),
		listener: l,
	}
	s.feed = feed.New(s.log, feed.Options{Author: settings.Name}, s.zap)
	if s.gossip, err = gossip.New(s.gossipOptions()); err != nil {
		return nil, err
	}
	s.meter, err = meter.New(meter.Process{Role: string(setup.SideRole), Name: settings.Name, Zone: settings.Zone})
	if err != nil {
		return nil, err
	}
	if settings.Metrics != "" {
		s.metrics, err = listen.New(settings.Metrics, s.meter.Routes())
	}
	return s, err
}

// Address returns the address that the side listens on.
func (s *Side) Address() string { return s.listener.Addr().String() }

// Run serves until a drain is over; the end of stop or an operator starts one. When kill ends, Run aborts the calls in
// flight and returns at once.
func (s *Side) Run(stop, kill context.Context) error {
	defer s.listener.Close()
	if s.metrics != nil {
		go func() { _ = s.metrics.Serve() }()
		defer s.metrics.Close()
	}
	background, cancel := context.WithCancel(kill)
	defer cancel()
	s.followConfig(background)
	if err := s.start(whenEither(stop, kill)); err != nil {
		return err
	}
	go s.server.Run(background)
	go s.applyConfigs(background)
	s.runOrders(background)
	go s.drainOn(stop, background)
	go s.stopWhenDrained(background)
	s.zap.Info("side serves", zap.String("address", s.Address()))
	if err := s.grpc.Serve(s.listener); err != nil {
		return fmt.Errorf("grpc server: %w", err)
	}
	return nil
}

// start waits for the pool's declaration and then builds the servers; it serves nothing yet.
func (s *Side) start(ctx context.Context) error {
	spec, err := s.awaitPool(ctx)
	if err != nil {
		return err
	}
	if s.server, err = serve.New(s.keepEngineOptions(s.options(spec))); err != nil {
		return err
	}
	s.grpc = grpc.NewServer(append(link.ServerOptions(), grpc.MaxRecvMsgSize(maxMessageBytes))...)
	sidepb.RegisterSideServer(s.grpc, s.server)
	s.registerMetrics()
	if spec.Kind == pool.Service {
		s.registerActionMetrics()
	}
	return nil
}

// options returns the options of the server for a pool, with a new incarnation.
func (s *Side) options(spec pool.Spec) serve.Options {
	out := serve.Options{
		Upstream:      upstreamhttp.New(s.settings.Upstream, 0),
		Log:           s.log,
		Pool:          spec,
		Name:          s.settings.Name,
		Zone:          s.settings.Zone,
		Incarnation:   uuid.NewString(),
		OnEntryOffset: s.gossip.NotifyOffset,
		Zap:           s.zap,
	}
	if spec.Kind == pool.Engine {
		out.Engine = runnerhttp.New(s.settings.Upstream)
	}
	return out
}

// drainOn starts a drain at the end of stop, unless the side has ended before.
func (s *Side) drainOn(stop, ended context.Context) {
	select {
	case <-stop.Done():
		_, _ = s.server.Drain(ended, &sidepb.DrainRequest{Author: s.settings.Name, Reason: "the process is told to stop"})
	case <-ended.Done():
	}
}

// stopWhenDrained stops the gRPC server once a drain is over, or at once at the end of ended.
func (s *Side) stopWhenDrained(ended context.Context) {
	select {
	case <-s.server.Drained():
		s.stopGracefully(ended)
	case <-ended.Done():
	}
	s.grpc.Stop()
}

// stopGracefully gives the last refusals finishTimeout to reach their callers.
func (s *Side) stopGracefully(ended context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.grpc.GracefulStop()
	}()
	select {
	case <-done:
	case <-time.After(finishTimeout):
	case <-ended.Done():
	}
}

// whenEither returns a context that ends when a or b does.
func whenEither(a, b context.Context) context.Context {
	out, cancel := context.WithCancel(a)
	context.AfterFunc(b, cancel)
	return out
}

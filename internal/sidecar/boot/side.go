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
	"github.com/ragworthatch/ragworthatch/internal/infra/runhttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/ops/listen"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/serve"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const (
	// maxMessage bounds a call, in bytes.
	maxMessage = 16 << 20
	// finishTimeout bounds the wait for the connections to end after a drain.
	finishTimeout = 2 * time.Second
)

// Side is one side process.
type Side struct {
	settings setup.Side
	log      logs.Service
	hosts    hosts.List
	zap      *zap.Logger
	listener net.Listener
	meter    *meter.Meter
	metrics  *listen.Server // nil when the settings name no address
	feed     *feed.Feed
	gossip   *gossip.Node
	entries  entries
	server   *serve.Server
	engine   serve.Options // beside a model engine; else empty
	grpc     *grpc.Server
}

// New listens on the side's address; nothing is served before Run.
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

// Address is the address that the side listens on.
func (s *Side) Address() string { return s.listener.Addr().String() }

// Run serves until stop ends and the calls in flight are done, or until kill ends, which cuts them.
func (s *Side) Run(stop, kill context.Context) error {
	defer s.listener.Close()
	if s.metrics != nil {
		go func() { _ = s.metrics.Serve() }()
		defer s.metrics.Close()
	}
	background, cancel := context.WithCancel(kill)
	defer cancel()
	s.follow(background)
	if err := s.start(either(stop, kill)); err != nil {
		return err
	}
	go s.server.Run(background)
	go s.adopt(background)
	s.takeOrders(background)
	go s.drainOn(stop, background)
	go s.stopWhenDrained(background)
	s.zap.Info("side serves", zap.String("address", s.Address()))
	if err := s.grpc.Serve(s.listener); err != nil {
		return fmt.Errorf("grpc server: %w", err)
	}
	return nil
}

func (s *Side) start(ctx context.Context) error {
	spec, err := s.awaitPool(ctx)
	if err != nil {
		return err
	}
	if s.server, err = serve.New(s.remember(s.options(spec))); err != nil {
		return err
	}
	s.grpc = grpc.NewServer(append(link.ServerOptions(), grpc.MaxRecvMsgSize(maxMessage))...)
	sidepb.RegisterSideServer(s.grpc, s.server)
	s.gauges()
	if spec.Kind == pool.Service {
		s.claims()
	}
	return nil
}

func (s *Side) options(spec pool.Spec) serve.Options {
	out := serve.Options{
		Upstream:    uphttp.New(s.settings.Upstream, 0),
		Log:         s.log,
		Pool:        spec,
		Name:        s.settings.Name,
		Zone:        s.settings.Zone,
		Incarnation: uuid.NewString(),
		Ahead:       s.gossip.NotifyOffset,
		Zap:         s.zap,
	}
	if spec.Kind == pool.Engine {
		out.Engine = runhttp.New(s.settings.Upstream)
	}
	return out
}

// drainOn starts a drain when the process is told to stop.
func (s *Side) drainOn(stop, ended context.Context) {
	select {
	case <-stop.Done():
		_, _ = s.server.Drain(ended, &sidepb.DrainRequest{Author: s.settings.Name, Reason: "the process is told to stop"})
	case <-ended.Done():
	}
}

// stopWhenDrained closes the server once a drain is over, by signal or by an operator.
func (s *Side) stopWhenDrained(ended context.Context) {
	select {
	case <-s.server.Drained():
		s.finish(ended)
	case <-ended.Done():
	}
	s.grpc.Stop()
}

// finish lets the calls that came last have their refusals.
func (s *Side) finish(ended context.Context) {
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

// either ends when one of two contexts does.
func either(a, b context.Context) context.Context {
	out, cancel := context.WithCancel(a)
	context.AfterFunc(b, cancel)
	return out
}

package boot

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/metrics"
	"github.com/ragworthatch/ragworthatch/internal/entry/node"
	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosthttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/loghttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/weight"
	"github.com/ragworthatch/ragworthatch/internal/infra/weighthttp"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
	"github.com/ragworthatch/ragworthatch/internal/ops/listen"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
)

// Entry is an entry process.
type Entry struct {
	*node.Node
	metrics *listen.Server // nil if the settings have no metrics address
}

// New builds an entry and listens on its addresses; Run starts serving.
func New(s setup.Entry, log *zap.Logger) (*Entry, error) {
	log = log.With(zap.String("entry", s.Name))
	m, err := meter.New(meter.Process{Role: string(setup.EntryRole), Name: s.Name, Zone: s.Zone})
	if err != nil {
		return nil, err
	}
	var weights weight.Store
	if s.WeightStore != "" {
		weights = weighthttp.New(s.WeightStore, 0)
	}
	n, err := node.New(node.Options{
		Name:          s.Name,
		Zone:          s.Zone,
		Region:        s.Region,
		HTTP:          s.HTTP,
		GRPC:          s.GRPC,
		Peers:         s.Peers,
		OperatorToken: s.OperatorTokenDigest,
		Log:           loghttp.New(s.Log),
		List:          hosthttp.New(s.HostList),
		Weights:       weights,
		Dial:          link.Dial,
		Metrics:       metrics.New(m),
		Limits:        clientLimits(s.Limits),
		MemoryBytes:   int64(s.Limits.MemoryMB) * 1_000_000,
		Logger:        log,
	})
	if err != nil {
		return nil, err
	}
	n.RegisterGauges(m)
	out := &Entry{Node: n}
	if s.Metrics != "" {
		out.metrics, err = listen.New(s.Metrics, m.Routes())
	}
	return out, err
}

// clientLimits converts the settings.
func clientLimits(l setup.Limits) intake.Limits {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return intake.Limits{
		HeadBytes: l.HeaderBytes, BodyBytes: int64(l.BodyBytes), HeadTimeout: ms(l.HeaderTimeoutMs),
		IdleTimeout: ms(l.IdleTimeoutMs), BodyTimeout: ms(l.BodyTimeoutMs), WriteTimeout: ms(l.WriteTimeoutMs),
		Wait: ms(l.BodyWaitMs), Connections: intake.MaxConnections(l.Connections, l.FileDescriptors),
	}
}

// Run serves as node.Node.Run does, together with the metrics.
func (e *Entry) Run(stop, kill context.Context) error {
	if e.metrics != nil {
		go func() { _ = e.metrics.Serve() }()
		defer e.metrics.Close()
	}
	return e.Node.Run(stop, kill)
}

// MetricsAddress returns the address of the Prometheus endpoint; empty without one.
func (e *Entry) MetricsAddress() string {
	if e.metrics == nil {
		return ""
	}
	return e.metrics.Addr()
}

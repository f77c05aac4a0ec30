package serve

import (
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/pool"
)

// Config is the part of the configuration in force that a side uses.
type Config struct {
	Offset   int64 // of the last record in it
	Revision int64
	Digest   string // shortened digest of the configuration, sent with each status
	Pool     pool.Spec
}

// ApplyConfig applies a configuration to the calls that arrive from now on.
func (s *Server) ApplyConfig(c Config) {
	s.observeVersion(c.Revision, c.Offset)
	s.digest.Store(&c.Digest)
	old := s.pool.Swap(&c.Pool)
	if gateOptions(*old) != gateOptions(c.Pool) {
		s.opts.Gate.Set(gateOptions(c.Pool))
		s.opts.Zap.Info("limit changed", zap.Int64("revision", c.Revision),
			zap.Int("floor", c.Pool.MinConcurrency), zap.Int("ceiling", c.Pool.MaxConcurrency),
			zap.Int64("targetMs", c.Pool.TargetMs))
	}
	s.hub.Notify()
}

// progressTimeout is the timeout in the configuration in use.
func (s *Server) progressTimeout() time.Duration { return progressTimeoutOf(*s.pool.Load()) }

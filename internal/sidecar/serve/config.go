package serve

import (
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/model/pool"
)

// Config is what a side takes from the configuration in force.
type Config struct {
	Offset   int64 // folded up to
	Revision int64
	Digest   string // start of it, as it travels with each status
	Pool     pool.Spec
}

// Use takes over a configuration; calls that come later run under it.
func (s *Server) Use(c Config) {
	s.learn(c.Revision, c.Offset)
	s.digest.Store(&c.Digest)
	old := s.pool.Swap(&c.Pool)
	if limits(*old) != limits(c.Pool) {
		s.opts.Gate.Set(limits(c.Pool))
		s.opts.Zap.Info("limit changed", zap.Int64("revision", c.Revision),
			zap.Int("floor", c.Pool.MinConcurrency), zap.Int("ceiling", c.Pool.MaxConcurrency),
			zap.Int64("targetMs", c.Pool.TargetMs))
	}
	s.hub.Notify()
}

func (s *Server) silent() time.Duration { return silent(*s.pool.Load()) }

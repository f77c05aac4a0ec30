package serve

import (
	"bytes"
	"compress/gzip"
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// packed is the newest configuration that was asked for, compressed once for all entries.
type packed struct {
	mu      sync.Mutex
	version int64
	body    []byte
}

func (p *packed) of(r Rules) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == r.Version {
		return p.body, nil
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(r.Body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	p.version, p.body = r.Version, out.Bytes()
	return p.body, nil
}

// Rules returns the configuration in force here, if it is newer than the one that the entry has.
func (s *Server) Rules(ctx context.Context, q *cellpb.RulesQuery) (*cellpb.RulesAnswer, error) {
	select {
	case s.bodies <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-s.bodies }()
	rules := s.rules()
	if rules.Version <= q.NewerThan {
		return &cellpb.RulesAnswer{Version: rules.Version}, nil
	}
	body, err := s.packed.of(rules)
	if err != nil {
		s.log.Error("the configuration can't be compressed", zap.Int64("version", rules.Version), zap.Error(err))
		return nil, err
	}
	return &cellpb.RulesAnswer{Version: rules.Version, Body: body}, nil
}

package serve

import (
	"bytes"
	"compress/gzip"
	"context"
	"sync"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// compressed caches the newest version of a large message, which is compressed once for all entries.
type compressed struct {
	mu      sync.Mutex
	version int64
	body    []byte
}

// get returns the message of a version, compressed. Unless it is cached, read returns the message to compress.
func (p *compressed) get(version int64, read func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.version == version && p.body != nil {
		return p.body, nil
	}
	body, err := read()
	if err != nil {
		return nil, err
	}
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	p.version, p.body = version, out.Bytes()
	return p.body, nil
}

// acquireTransfer waits until fewer than maxTransfers large answers are being sent. The caller must call done.
func (s *Server) acquireTransfer(ctx context.Context) (done func(), err error) {
	select {
	case s.transfers <- struct{}{}:
		return func() { <-s.transfers }, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Rules returns the configuration in force here, without a body if it is not newer than the one that the entry has.
func (s *Server) Rules(ctx context.Context, q *cellpb.RulesQuery) (*cellpb.RulesAnswer, error) {
	done, err := s.acquireTransfer(ctx)
	if err != nil {
		return nil, err
	}
	defer done()
	rules := s.rules()
	if rules.Version <= q.NewerThan {
		return &cellpb.RulesAnswer{Version: rules.Version}, nil
	}
	body, err := s.compressedRules.get(rules.Version, func() ([]byte, error) { return rules.Body, nil })
	if err != nil {
		s.log.Error("the configuration can't be compressed", zap.Int64("version", rules.Version), zap.Error(err))
		return nil, err
	}
	return &cellpb.RulesAnswer{Version: rules.Version, Body: body}, nil
}

// List returns the whole list of upstreams.
func (s *Server) List(ctx context.Context, _ *cellpb.ListQuery) (*cellpb.ListAnswer, error) {
	done, err := s.acquireTransfer(ctx)
	if err != nil {
		return nil, err
	}
	defer done()
	table := s.hosts()
	s.history.add(table)
	body, err := s.compressedHosts.get(table.Version(),
		func() ([]byte, error) { return proto.Marshal(tableMessage(table, s.now())) })
	if err != nil {
		s.log.Error("the list of upstreams can't be compressed", zap.Int64("version", table.Version()), zap.Error(err))
		return nil, err
	}
	return &cellpb.ListAnswer{Version: table.Version(), Hosts: body}, nil
}

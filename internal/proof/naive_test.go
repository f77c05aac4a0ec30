package proof

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const naiveTimeout = 2 * time.Second

// naiveSide forwards calls: it remembers the answers of actions in memory only, validates nothing and reports every
// error as notRun.
type naiveSide struct {
	sidepb.UnimplementedSideServer
	up upstream.Upstream

	mu      sync.Mutex
	answers map[string][][]byte
}

func newNaiveSide(up upstream.Upstream) *naiveSide {
	return &naiveSide{up: up, answers: map[string][][]byte{}}
}

func (s *naiveSide) Call(req *sidepb.CallRequest, out sidepb.Side_CallServer) error {
	key := req.GetAction().GetKey()
	s.mu.Lock()
	chunks, known := s.answers[key]
	s.mu.Unlock()
	if !known || key == "" {
		var err error
		if chunks, err = s.run(out.Context(), req); err != nil {
			return s.fail(req, out)
		}
		s.mu.Lock()
		s.answers[key] = chunks
		s.mu.Unlock()
	}
	for _, c := range chunks {
		if err := s.send(req, out,
			&sidepb.CallFrame{Body: &sidepb.CallFrame_Chunk{Chunk: &sidepb.Chunk{Data: c}}}); err != nil {
			return err
		}
	}
	return s.send(req, out, &sidepb.CallFrame{Body: &sidepb.CallFrame_Whole{Whole: &sidepb.Whole{}}})
}

func (s *naiveSide) run(ctx context.Context, req *sidepb.CallRequest) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, naiveTimeout)
	defer cancel()
	stream, err := s.up.Call(ctx, upstream.Call{
		ID:   attemptName(req.GetId()),
		Kind: req.GetKind(),
		Body: req.GetBody(),
		Key:  req.GetAction().GetKey(),
	})
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	var chunks [][]byte
	for {
		e, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			return chunks, nil
		}
		if err != nil {
			return nil, err
		}
		if len(e.Data) > 0 {
			chunks = append(chunks, e.Data)
		}
	}
}

func (s *naiveSide) fail(req *sidepb.CallRequest, out sidepb.Side_CallServer) error {
	return s.send(req, out,
		&sidepb.CallFrame{Body: &sidepb.CallFrame_Failure{Failure: &sidepb.Failure{Verdict: "notRun"}}})
}

func (s *naiveSide) send(req *sidepb.CallRequest, out sidepb.Side_CallServer, f *sidepb.CallFrame) error {
	f.Id = req.GetId()
	return out.Send(f)
}

// naiveAnswer reads an answer as a naive caller would: it accepts every frame as it comes.
func naiveAnswer(stream grpc.ServerStreamingClient[sidepb.CallFrame]) (chunks [][]byte, verdict string) {
	for {
		f, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return chunks, ""
		case err != nil:
			return nil, "notRun"
		case f.GetFailure() != nil:
			return nil, f.GetFailure().GetVerdict()
		case f.GetWhole() != nil:
			return chunks, ""
		case f.GetChunk() != nil:
			chunks = append(chunks, f.GetChunk().GetData())
		}
	}
}

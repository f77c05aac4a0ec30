package proof

import (
	"bytes"

	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/entry/assemble"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// seen is what a caller of a side made of the frames.
type seen struct {
	verdict string // empty when the answer is whole
	answer  string
	replay  bool
	broken  bool // ended without a last frame
}

// readAnswer reads an answer as the entry does.
func readAnswer(id *sidepb.Identity, stream grpc.ServerStreamingClient[sidepb.CallFrame]) seen {
	a := assemble.New(id, nil)
	for {
		f, err := stream.Recv()
		if err != nil {
			return seen{verdict: "mayHaveRun", broken: true}
		}
		step, err := a.Add(f)
		switch {
		case a.Failure() != nil:
			return seen{verdict: a.Failure().GetVerdict()}
		case err != nil:
			return seen{verdict: "mayHaveRun", broken: true}
		case step == assemble.Complete:
			return seen{answer: join(a.Chunks()), replay: a.Replayed()}
		}
	}
}

func join(chunks [][]byte) string { return string(bytes.Join(chunks, nil)) }

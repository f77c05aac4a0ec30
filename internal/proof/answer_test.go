package proof

import (
	"bytes"

	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/entry/assemble"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// receivedAnswer is the answer of a side as its caller assembled it.
type receivedAnswer struct {
	verdict  string // empty if the answer is complete
	answer   string
	replayed bool
	broken   bool // ended without a final frame
}

// readAnswer reads an answer as an entry does.
func readAnswer(id *sidepb.Identity, stream grpc.ServerStreamingClient[sidepb.CallFrame]) receivedAnswer {
	a := assemble.New(id, nil)
	for {
		f, err := stream.Recv()
		if err != nil {
			return receivedAnswer{verdict: "mayHaveRun", broken: true}
		}
		step, err := a.Add(f)
		switch {
		case a.Failure() != nil:
			return receivedAnswer{verdict: a.Failure().GetVerdict()}
		case err != nil:
			return receivedAnswer{verdict: "mayHaveRun", broken: true}
		case step == assemble.Complete:
			return receivedAnswer{answer: join(a.Chunks()), replayed: a.Replayed()}
		}
	}
}

func join(chunks [][]byte) string { return string(bytes.Join(chunks, nil)) }

package serve

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// reply writes the frames of one call's answer.
type reply struct {
	out    grpc.ServerStreamingServer[sidepb.CallFrame]
	id     *sidepb.Identity
	load   func() *sidepb.Load
	seq    uint64
	digest *ident.Digest
	chunks uint64 // sent by this call, without the held ones
}

func (s *Server) newReply(req *sidepb.CallRequest, out grpc.ServerStreamingServer[sidepb.CallFrame]) *reply {
	id := &sidepb.Identity{}
	if req.GetId() != nil {
		id = proto.CloneOf(req.GetId())
	}
	if id.Incarnation == "" {
		id.Incarnation = s.opts.Incarnation
	}
	r := &reply{out: out, id: id, load: s.load, digest: ident.NewDigest()}
	for _, token := range req.GetHeld() {
		r.digest.Add([]byte(token))
	}
	return r
}

func (r *reply) started(queued time.Duration) error {
	return r.send(&sidepb.CallFrame{
		Body: &sidepb.CallFrame_Started{Started: &sidepb.Started{QueuedMs: queued.Milliseconds()}},
		Load: r.load(),
	})
}

func (r *reply) chunk(data []byte) error {
	index := r.digest.Count()
	r.digest.Add(data)
	r.chunks++
	return r.send(&sidepb.CallFrame{
		Body: &sidepb.CallFrame_Chunk{Chunk: &sidepb.Chunk{Index: index, Data: data}},
	})
}

func (r *reply) whole(cost *sidepb.Cost, replayed bool) error {
	return r.send(&sidepb.CallFrame{
		Body: &sidepb.CallFrame_Whole{Whole: &sidepb.Whole{
			Count:    r.digest.Count(),
			Digest:   r.digest.Sum(),
			Cost:     cost,
			Replayed: replayed,
		}},
		Load: r.load(),
	})
}

func (r *reply) failure(err *fault.Error, crowd int, cost *sidepb.Cost) error {
	return r.send(&sidepb.CallFrame{
		Body: &sidepb.CallFrame_Failure{Failure: &sidepb.Failure{
			Verdict:      string(err.Verdict),
			Code:         string(err.Code),
			Message:      err.Message,
			RetryAfterMs: err.RetryAfter.Milliseconds(),
			Crashed:      err.Code == fault.Crashed,
			InFlight:     uint32(crowd),
			Cost:         cost,
		}},
		Load: r.load(),
	})
}

func (r *reply) send(f *sidepb.CallFrame) error {
	f.Id = r.id
	f.Seq = r.seq
	r.seq++
	return r.out.Send(f)
}

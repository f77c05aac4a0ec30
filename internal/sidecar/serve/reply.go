package serve

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// reply sends the frames of the answer to one call.
type reply struct {
	out           grpc.ServerStreamingServer[sidepb.CallFrame]
	id            *sidepb.Identity
	load          func() *sidepb.Load
	digest        *ident.Digest
	chunks        uint64   // sent by this call, without those that the caller holds already
	data          [][]byte // chunks of an action's answer
	stopHeartbeat context.CancelFunc
	heartbeats    sync.WaitGroup

	sendSlot chan struct{} // semaphore of one that guards out and the fields below; heartbeats skip a busy one
	seq      uint64
	ended    bool // the final frame was sent
	idle     bool // nothing was sent since the last heartbeat
}

// newReply returns the reply to a request. Its digest starts with the tokens that the caller holds already.
func (s *Server) newReply(req *sidepb.CallRequest, out grpc.ServerStreamingServer[sidepb.CallFrame]) *reply {
	id := &sidepb.Identity{}
	if req.GetId() != nil {
		id = proto.CloneOf(req.GetId())
	}
	if id.Incarnation == "" {
		id.Incarnation = s.opts.Incarnation
	}
	r := &reply{out: out, id: id, load: s.load, digest: ident.NewDigest(), sendSlot: make(chan struct{}, 1)}
	for _, token := range req.GetHeld() {
		r.digest.Add([]byte(token))
	}
	return r
}

// sendStarted says that the call was dispatched after it had been queued for a time.
func (r *reply) sendStarted(queued time.Duration) error {
	return r.send(&sidepb.CallFrame{
		Body: &sidepb.CallFrame_Started{Started: &sidepb.Started{QueuedMs: queued.Milliseconds()}},
		Load: r.load(),
	})
}

// sendChunk sends the next chunk of the answer.
func (r *reply) sendChunk(data []byte) error {
	index := r.digest.Count()
	r.digest.Add(data)
	r.chunks++
	return r.send(&sidepb.CallFrame{
		Body: &sidepb.CallFrame_Chunk{Chunk: &sidepb.Chunk{Index: index, Data: data}},
	})
}

// sendWhole sends the last frame of a complete answer.
func (r *reply) sendWhole(cost *sidepb.Cost, replayed bool) error {
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

// sendFailure sends the last frame of a failed call; crash is the ID of the upstream's crash, empty without one.
func (r *reply) sendFailure(err *fault.Error, crash string, inFlight uint32, cost *sidepb.Cost) error {
	return r.send(&sidepb.CallFrame{
		Body: &sidepb.CallFrame_Failure{Failure: &sidepb.Failure{
			Verdict:      string(err.Verdict),
			Code:         string(err.Code),
			Message:      err.Message,
			RetryAfterMs: err.RetryAfter.Milliseconds(),
			Crashed:      err.Code == fault.Crashed,
			InFlight:     inFlight,
			Crash:        crash,
			Cost:         cost,
		}},
		Load: r.load(),
	})
}

// send writes one frame.
func (r *reply) send(f *sidepb.CallFrame) error {
	r.sendSlot <- struct{}{}
	defer func() { <-r.sendSlot }()
	return r.write(f)
}

// write numbers and sends one frame; the caller holds sendSlot.
func (r *reply) write(f *sidepb.CallFrame) error {
	f.Id = r.id
	f.Seq = r.seq
	r.seq++
	r.ended = r.ended || f.GetWhole() != nil || f.GetFailure() != nil
	r.idle = false
	return r.out.Send(f)
}

// startHeartbeat sends an empty frame whenever nothing else was sent for timing.CallHeartbeat, until close.
func (r *reply) startHeartbeat(ctx context.Context) {
	ctx, r.stopHeartbeat = context.WithCancel(ctx)
	r.heartbeats.Go(func() { every(ctx, timing.CallHeartbeat, r.heartbeat) })
}

// heartbeat sends an empty frame if nothing was sent since the last heartbeat.
func (r *reply) heartbeat() {
	select {
	case r.sendSlot <- struct{}{}:
	default:
		return // another frame is being sent, perhaps to a slow caller
	}
	defer func() { <-r.sendSlot }()
	if r.idle && !r.ended {
		_ = r.write(&sidepb.CallFrame{}) // a caller that left ends the call through its context
	}
	r.idle = true
}

// close stops the heartbeat; nothing is sent after it returns.
func (r *reply) close() {
	r.stopHeartbeat()
	r.heartbeats.Wait()
}

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

// reply writes the frames of one call's answer.
type reply struct {
	out    grpc.ServerStreamingServer[sidepb.CallFrame]
	id     *sidepb.Identity
	load   func() *sidepb.Load
	digest *ident.Digest
	chunks uint64   // sent by this call, without the held ones
	data   [][]byte // chunks of an action's answer
	stop   context.CancelFunc
	beats  sync.WaitGroup

	lock  chan struct{} // of the stream and what follows; a sender may hold it while its caller is slow
	seq   uint64
	last  bool // the last frame was sent
	quiet bool // nothing was sent since the last heartbeat
}

func (s *Server) newReply(req *sidepb.CallRequest, out grpc.ServerStreamingServer[sidepb.CallFrame]) *reply {
	id := &sidepb.Identity{}
	if req.GetId() != nil {
		id = proto.CloneOf(req.GetId())
	}
	if id.Incarnation == "" {
		id.Incarnation = s.opts.Incarnation
	}
	r := &reply{out: out, id: id, load: s.load, digest: ident.NewDigest(), lock: make(chan struct{}, 1)}
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

func (r *reply) failure(err *fault.Error, crash string, inFlight uint32, cost *sidepb.Cost) error {
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
	r.lock <- struct{}{}
	defer func() { <-r.lock }()
	return r.write(f)
}

func (r *reply) write(f *sidepb.CallFrame) error {
	f.Id = r.id
	f.Seq = r.seq
	r.seq++
	r.last = r.last || f.GetWhole() != nil || f.GetFailure() != nil
	r.quiet = false
	return r.out.Send(f)
}

// beat sends an empty frame whenever nothing was sent for a while, until close.
func (r *reply) beat(ctx context.Context) {
	ctx, r.stop = context.WithCancel(ctx)
	r.beats.Go(func() { every(ctx, timing.CallHeartbeat, r.beatOnce) })
}

func (r *reply) beatOnce() {
	select {
	case r.lock <- struct{}{}:
	default:
		return // a frame is being sent
	}
	defer func() { <-r.lock }()
	if r.quiet && !r.last {
		_ = r.write(&sidepb.CallFrame{}) // a caller that went away ends the call through its context
	}
	r.quiet = true
}

// close ends the heartbeat; nothing is sent after it.
func (r *reply) close() {
	r.stop()
	r.beats.Wait()
}

package serve

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// States of a side as its watchers see them.
const (
	liveState    = "live"
	leavingState = "leaving"
)

// Watch streams the status: at once, on each change, and as a heartbeat, until the side has drained.
func (s *Server) Watch(req *sidepb.WatchRequest, out sidepb.Side_WatchServer) error {
	s.opts.Ahead(req.GetOffset())
	beat := time.NewTicker(timing.HeartbeatInterval)
	defer beat.Stop()
	var position uint64 // in the cache events; they wait for the next heartbeat or change
	for {
		changed := s.hub.Changed()
		st := s.status()
		st.Cached, st.Evicted, position = s.warm.Since(position)
		if err := out.Send(st); err != nil {
			return err
		}
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case <-s.drain.done:
			return nil
		case <-s.drain.done:
			return nil
		case <-changed:
		case <-beat.C:
		}
	}
}

func (s *Server) status() *sidepb.Status {
	state := liveState
	if s.drain.on() {
		state = leavingState
	}
	st := &sidepb.Status{
		Upstream:        s.opts.Name,
		Pool:            s.opts.Pool.Name,
		Zone:            s.opts.Zone,
		State:           state,
		Incarnation:     s.opts.Incarnation,
		Load:            s.loadOfStatus(),
		Offset:          s.offset.Load(),
		Digest:          *s.digest.Load(),
		UpstreamHealthy: s.health.healthy(),
	}
	if m := s.engine.Load(); m != nil {
		st.Models = *m
	}
	return st
}

// loadOfStatus leaves out the incarnation, which the status itself has.
func (s *Server) loadOfStatus() *sidepb.Load {
	l := s.load()
	l.Incarnation = ""
	return l
}

func (s *Server) load() *sidepb.Load {
	latency, reported := s.health.look()
	entered := s.opts.Gate.Load()
	l := &sidepb.Load{
		Running:     uint32(s.flights.Running()),
		Queued:      uint32(entered.Queued),
		Limit:       uint32(entered.Limit),
		LatencyMs:   float64(latency) / float64(time.Millisecond),
		Draining:    s.drain.on(),
		Revision:    s.revision.Load(),
		Incarnation: s.opts.Incarnation,
		ShortWaitMs: entered.ShortWait.Milliseconds(),
		LongWaitMs:  entered.LongWait.Milliseconds(),
	}
	if !reported.At.IsZero() {
		l.AgeMs = max(s.opts.Now().Sub(reported.At).Milliseconds(), 0)
	}
	return l
}

// setModels publishes what the engine has loaded.
func (s *Server) setModels(st runner.State) {
	models := loaded(st)
	if old := s.engine.Load(); old != nil && slices.Equal(*old, models) {
		return
	}
	s.engine.Store(&models)
	s.hub.Notify()
}

// loaded lists the model, its version and its adapters as model, model@version and model+adapter.
func loaded(st runner.State) []string {
	if st.Model == "" || st.Loading {
		return nil
	}
	out := []string{st.Model}
	if st.Version != "" {
		out = append(out, st.Model+"@"+st.Version)
	}
	for _, a := range st.Adapters {
		out = append(out, st.Model+"+"+a)
	}
	return out
}

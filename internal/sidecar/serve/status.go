package serve

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// States of a side in its status.
const (
	liveState    = "live"
	leavingState = "leaving"
)

// Watch streams the side's status at once, on each change and at each heartbeat interval, until the side has drained.
func (s *Server) Watch(req *sidepb.WatchRequest, out sidepb.Side_WatchServer) error {
	s.opts.OnEntryOffset(req.GetOffset())
	heartbeat := time.NewTicker(timing.HeartbeatInterval)
	defer heartbeat.Stop()
	var nextEvent uint64 // position in the cache events, which by themselves trigger no status
	for {
		changed := s.hub.Changed()
		st := s.status()
		st.Cached, st.Evicted, nextEvent = s.cacheEvents.Since(nextEvent)
		if err := out.Send(st); err != nil {
			return err
		}
		select {
		case <-out.Context().Done():
			return out.Context().Err()
		case <-s.drain.over:
			return nil
		case <-s.drain.over:
			return nil
		case <-changed:
		case <-heartbeat.C:
		}
	}
}

// status returns the side's status without cache events.
func (s *Server) status() *sidepb.Status {
	state := liveState
	if s.drain.isDraining() {
		state = leavingState
	}
	st := &sidepb.Status{
		Upstream:        s.opts.Name,
		Pool:            s.opts.Pool.Name,
		Zone:            s.opts.Zone,
		State:           state,
		Incarnation:     s.opts.Incarnation,
		Load:            s.statusLoad(),
		Offset:          s.offset.Load(),
		Digest:          *s.digest.Load(),
		UpstreamHealthy: s.health.healthy(),
	}
	if m := s.loadedModels.Load(); m != nil {
		st.Models = *m
	}
	return st
}

// statusLoad is the load without the incarnation, which is a field of the status itself.
func (s *Server) statusLoad() *sidepb.Load {
	l := s.load()
	l.Incarnation = ""
	return l
}

// load returns the side's load report, which is sent with each status and with some frames of an answer.
func (s *Server) load() *sidepb.Load {
	latency, upstreamLoad := s.health.snapshot()
	gateLoad := s.opts.Gate.Load()
	l := &sidepb.Load{
		Running:     uint32(s.attempts.Running()),
		Queued:      uint32(gateLoad.Queued),
		Limit:       uint32(gateLoad.Limit),
		LatencyMs:   float64(latency) / float64(time.Millisecond),
		Draining:    s.drain.isDraining(),
		Revision:    s.revision.Load(),
		Incarnation: s.opts.Incarnation,
		ShortWaitMs: gateLoad.ShortWait.Milliseconds(),
		LongWaitMs:  gateLoad.LongWait.Milliseconds(),
	}
	if !upstreamLoad.At.IsZero() {
		l.AgeMs = max(s.opts.Now().Sub(upstreamLoad.At).Milliseconds(), 0)
	}
	return l
}

// setModels notifies the watchers if the models that the engine has loaded have changed.
func (s *Server) setModels(st runner.State) {
	models := modelNames(st)
	if old := s.loadedModels.Load(); old != nil && slices.Equal(*old, models) {
		return
	}
	s.loadedModels.Store(&models)
	s.hub.Notify()
}

// modelNames lists the loaded model, its version and its adapters as model, model@version and model+adapter.
func modelNames(st runner.State) []string {
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

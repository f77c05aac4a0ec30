package proof

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/inmem"
	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fake/worker"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/serve"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const upstreamRestart = 300 * time.Millisecond

var errDead = errors.New("process is dead")

// source is a random source that several goroutines may use.
type source struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newSource(seed uint64) *source { return &source{r: rand.New(rand.NewPCG(seed, 7))} }

func (s *source) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

// chance is true in so many of 1000 cases.
func (s *source) chance(perMille int) bool { return s.intN(1000) < perMille }

func (s *source) duration(upTo time.Duration) time.Duration {
	return time.Duration(s.intN(int(upTo/time.Millisecond)+1)) * time.Millisecond
}

// process is one incarnation that can be killed and paused.
type process struct {
	dead context.Context
	kill context.CancelFunc

	mu     sync.Mutex
	resume chan struct{} // nil while running
}

func newProcess() *process {
	p := &process{}
	p.dead, p.kill = context.WithCancel(context.Background())
	return p
}

// pause stops the process at its next look at the clock or call of another process.
func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

func (p *process) goOn() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// step blocks while the process is paused and fails once it is dead.
func (p *process) step() error {
	p.mu.Lock()
	resume := p.resume
	p.mu.Unlock()
	if resume != nil {
		select {
		case <-resume:
		case <-p.dead.Done():
		}
	}
	if p.dead.Err() != nil {
		return errDead
	}
	return nil
}

func (p *process) now() time.Time {
	_ = p.step()
	return time.Now()
}

// procLog is the log as a process sees it.
type procLog struct {
	p   *process
	log logs.Service
}

func (l procLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := l.p.step(); err != nil {
		return 0, err
	}
	first, err := l.log.Append(ctx, stream, records)
	if dead := l.p.step(); dead != nil {
		return 0, dead
	}
	return first, err
}

func (l procLog) Read(ctx context.Context, stream string, from int64, limit int) (logs.Batch, error) {
	if err := l.p.step(); err != nil {
		return logs.Batch{}, err
	}
	b, err := l.log.Read(ctx, stream, from, limit)
	if dead := l.p.step(); dead != nil {
		return logs.Batch{}, dead
	}
	return b, err
}

// procUpstream is the upstream as a process sees it; a pause may fall between its last check and the send.
type procUpstream struct {
	p *process
	upstream.Upstream
}

func (u procUpstream) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	if err := u.p.step(); err != nil {
		return nil, err
	}
	// What was about to be sent before a pause is sent after it.
	s, err := u.Upstream.Call(context.WithoutCancel(ctx), c)
	if err != nil {
		return nil, err
	}
	return &procStream{p: u.p, s: s}, nil
}

type procStream struct {
	p *process
	s upstream.Stream
}

func (s *procStream) Next(ctx context.Context) (upstream.Event, error) {
	if err := s.p.step(); err != nil {
		return upstream.Event{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.p.dead, cancel)()
	e, err := s.s.Next(ctx)
	if dead := s.p.step(); dead != nil {
		return upstream.Event{}, dead
	}
	return e, err
}

func (s *procStream) Close() error { return s.s.Close() }

// host is one upstream with the side beside it; the upstream outlives the side's incarnations.
type host struct {
	w      *world
	name   string
	pool   pool.Spec
	node   *inmem.Node
	worker *worker.Worker
	busy   sync.Mutex // held by a fault of the host's own

	mu     sync.Mutex
	starts int
	proc   *process
	server *serve.Server
	ended  chan struct{}
	cancel context.CancelFunc
}

// world is a deployment in memory.
type world struct {
	t      *testing.T
	rnd    *source
	log    *memlog.Log
	hosts  []*host
	naive  bool
	absent *absences
	cuts   atomic.Int64 // calls in flight at the end of planned stops
}

// cut is how many calls planned stops have cut.
func (w *world) cut() int { return int(w.cuts.Load()) }

func newWorld(t *testing.T, seed uint64, naive bool) *world {
	return &world{t: t, rnd: newSource(seed), log: memlog.New(), naive: naive, absent: newAbsences()}
}

// hostsOf counts the hosts of a pool.
func (w *world) hostsOf(pool string) int {
	n := 0
	for _, h := range w.hosts {
		if h.pool.Name == pool {
			n++
		}
	}
	return n
}

func (w *world) addHost(p pool.Spec, c chaos) *host {
	h := &host{
		w:    w,
		name: fmt.Sprintf("%s-%d", p.Name, len(w.hosts)),
		pool: p,
		node: inmem.NewNode(),
	}
	h.worker = worker.New(c.upstream(w, h.crash))
	w.hosts = append(w.hosts, h)
	h.start()
	return h
}

// start runs a new incarnation of the host's side.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	h.proc = newProcess()
	up := procUpstream{p: h.proc, Upstream: h.worker}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.ended = make(chan struct{})
	if h.w.naive {
		h.node.Start(newNaiveSide(up))
		close(h.ended)
		return
	}
	s, err := serve.New(serve.Options{
		Upstream:    up,
		Log:         procLog{p: h.proc, log: h.w.log},
		Pool:        h.pool,
		Name:        h.name,
		Incarnation: fmt.Sprintf("%s.%d", h.name, h.starts),
		Now:         h.proc.now,
	})
	qt.Assert(h.w.t, err, qt.IsNil)
	h.server = s
	ended := h.ended
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	h.node.Start(s)
}

// crash breaks the upstream for a while.
func (h *host) crash() {
	h.worker.Crash()
	time.AfterFunc(upstreamRestart, h.worker.Restart)
}

// die ends the side's process at once.
func (h *host) die() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proc.kill()
	h.cancel()
	h.node.Kill()
	<-h.ended
}

// leave is a planned stop: it drains the side, ends its process and counts the calls that it cut.
func (h *host) leave(bound time.Duration) {
	h.mu.Lock()
	s := h.server
	h.mu.Unlock()
	if s != nil {
		_, _ = s.Drain(h.w.t.Context(), &sidepb.DrainRequest{Author: "ana", Reason: "noon"})
		select {
		case <-s.Drained():
		case <-time.After(bound):
		}
	}
	h.w.cuts.Add(int64(h.worker.Open()))
	h.die()
}

func (h *host) process() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proc
}

func (h *host) incarnation() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return fmt.Sprintf("%s.%d", h.name, h.starts)
}

// close ends all processes.
func (w *world) close() {
	for _, h := range w.hosts {
		h.process().goOn()
		h.die()
	}
}

// runs counts the runs of all workers by a name.
func (w *world) runs(name func(upstream.Call) string) map[string]int {
	out := map[string]int{}
	for _, h := range w.hosts {
		for _, r := range h.worker.Runs() {
			out[name(r.Call)]++
		}
	}
	return out
}

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

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand { return &lockedRand{r: rand.New(rand.NewPCG(seed, 7))} }

func (s *lockedRand) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

// chance returns true with a probability of perMille in 1000.
func (s *lockedRand) chance(perMille int) bool { return s.intN(1000) < perMille }

func (s *lockedRand) duration(upTo time.Duration) time.Duration {
	return time.Duration(s.intN(int(upTo/time.Millisecond)+1)) * time.Millisecond
}

// process is one incarnation of a side, which can be killed and paused.
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

// pause blocks the process the next time it reads the clock or calls another process.
func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume == nil {
		p.resume = make(chan struct{})
	}
}

func (p *process) unpause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resume != nil {
		close(p.resume)
		p.resume = nil
	}
}

// waitRunning blocks while the process is paused and fails once it is dead.
func (p *process) waitRunning() error {
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
	_ = p.waitRunning()
	return time.Now()
}

// procLog is the log as used by a process: it blocks and fails with the process.
type procLog struct {
	p   *process
	log logs.Service
}

func (l procLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := l.p.waitRunning(); err != nil {
		return 0, err
	}
	first, err := l.log.Append(ctx, stream, records)
	if dead := l.p.waitRunning(); dead != nil {
		return 0, dead
	}
	return first, err
}

func (l procLog) Read(ctx context.Context, stream string, from int64, limit int) (logs.Batch, error) {
	if err := l.p.waitRunning(); err != nil {
		return logs.Batch{}, err
	}
	b, err := l.log.Read(ctx, stream, from, limit)
	if dead := l.p.waitRunning(); dead != nil {
		return logs.Batch{}, dead
	}
	return b, err
}

// procUpstream is the upstream as used by a process. A pause may fall between the last check of a call and its send.
type procUpstream struct {
	p *process
	upstream.Upstream
}

func (u procUpstream) Call(ctx context.Context, c upstream.Call) (upstream.Stream, error) {
	if err := u.p.waitRunning(); err != nil {
		return nil, err
	}
	// A call that was about to be sent before a pause is still sent after it, even if it was canceled meanwhile.
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
	if err := s.p.waitRunning(); err != nil {
		return upstream.Event{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.p.dead, cancel)()
	e, err := s.s.Next(ctx)
	if dead := s.p.waitRunning(); dead != nil {
		return upstream.Event{}, dead
	}
	return e, err
}

func (s *procStream) Close() error { return s.s.Close() }

// host is one upstream and its side; the upstream outlives the side's incarnations.
type host struct {
	env     *environment
	name    string
	pool    pool.Spec
	node    *inmem.Node
	worker  *worker.Worker
	faultMu sync.Mutex // held while a fault acts on the host

	mu     sync.Mutex
	starts int
	proc   *process
	server *serve.Server
	ended  chan struct{}
	cancel context.CancelFunc
}

// environment is an in-memory deployment: the log and the hosts.
type environment struct {
	t          *testing.T
	rnd        *lockedRand
	log        *memlog.Log
	hosts      []*host
	naive      bool
	emptyPools *emptyPools
	cuts       atomic.Int64 // calls still in flight at the end of planned stops
}

// callsCut returns the number of calls that planned stops have cut.
func (env *environment) callsCut() int { return int(env.cuts.Load()) }

func newEnvironment(t *testing.T, seed uint64, naive bool) *environment {
	return &environment{t: t, rnd: newLockedRand(seed), log: memlog.New(), naive: naive, emptyPools: newEmptyPools()}
}

// hostsOf returns the number of hosts in a pool.
func (env *environment) hostsOf(pool string) int {
	n := 0
	for _, h := range env.hosts {
		if h.pool.Name == pool {
			n++
		}
	}
	return n
}

func (env *environment) addHost(p pool.Spec, faults faultSet) *host {
	h := &host{
		env:  env,
		name: fmt.Sprintf("%s-%d", p.Name, len(env.hosts)),
		pool: p,
		node: inmem.NewNode(),
	}
	h.worker = worker.New(faults.upstreamPlanner(env, h.crashUpstream))
	env.hosts = append(env.hosts, h)
	h.start()
	return h
}

// start starts a new incarnation of the host's side.
func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.starts++
	h.proc = newProcess()
	up := procUpstream{p: h.proc, Upstream: h.worker}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.ended = make(chan struct{})
	if h.env.naive {
		h.node.Start(newNaiveSide(up))
		close(h.ended)
		return
	}
	s, err := serve.New(serve.Options{
		Upstream:    up,
		Log:         procLog{p: h.proc, log: h.env.log},
		Pool:        h.pool,
		Name:        h.name,
		Incarnation: fmt.Sprintf("%s.%d", h.name, h.starts),
		Now:         h.proc.now,
	})
	qt.Assert(h.env.t, err, qt.IsNil)
	h.server = s
	ended := h.ended
	go func() {
		defer close(ended)
		s.Run(ctx)
	}()
	h.node.Start(s)
}

// crashUpstream crashes the upstream, which is back after upstreamRestart.
func (h *host) crashUpstream() {
	h.worker.Crash()
	time.AfterFunc(upstreamRestart, h.worker.Restart)
}

// killSide ends the side's process at once.
func (h *host) killSide() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.proc.kill()
	h.cancel()
	h.node.Kill()
	<-h.ended
}

// drainAndStop is a planned stop: it drains the side, ends its process and counts the calls that are cut.
func (h *host) drainAndStop(timeout time.Duration) {
	h.mu.Lock()
	s := h.server
	h.mu.Unlock()
	if s != nil {
		_, _ = s.Drain(h.env.t.Context(), &sidepb.DrainRequest{Author: "ana", Reason: "noon"})
		select {
		case <-s.Drained():
		case <-time.After(timeout):
		}
	}
	h.env.cuts.Add(int64(h.worker.Open()))
	h.killSide()
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

// close ends all sides.
func (env *environment) close() {
	for _, h := range env.hosts {
		h.process().unpause()
		h.killSide()
	}
}

// runs counts the runs of all workers by key.
func (env *environment) runs(key func(upstream.Call) string) map[string]int {
	out := map[string]int{}
	for _, h := range env.hosts {
		for _, r := range h.worker.Runs() {
			out[key(r.Call)]++
		}
	}
	return out
}

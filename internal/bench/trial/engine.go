package trial

import (
	"math"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/prio"
)

// task is one call on an engine; work and prefill are in seconds at full speed.
type task struct {
	prefill      float64
	work         float64
	onFirstToken func() // called when the first token is generated; nil for calls without tokens
	onDone       func()

	index     int
	milestone float64 // virtual time of the first token, then of the end
	startedAt float64
	started   bool
	prefilled bool
	removed   bool
}

// engine divides its speed evenly between the tasks of a batch and queues the rest in order of arrival. virtualTime
// grows by the seconds of work that each running task receives.
type engine struct {
	loop        *loop
	slots       int // tasks that run together at full speed
	batch       int // largest number of tasks that run together
	slowdown    float64
	virtualTime float64
	updatedAt   time.Time
	running     *prio.Heap[*task]
	queue       []*task
	timer       *event
	cache       *cache
	down        bool
}

func newEngine(l *loop, slots, batch int) *engine {
	e := &engine{loop: l, slots: slots, batch: batch, slowdown: 1, updatedAt: l.now}
	e.running = prio.New(
		func(a, b *task) bool { return a.milestone < b.milestone },
		func(t *task, i int) { t.index = i },
	)
	return e
}

func (e *engine) submit(t *task) {
	e.advance()
	e.queue = append(e.queue, t)
	e.startQueued()
}

// stop drops a task and returns the seconds of work done on it.
func (e *engine) stop(t *task) float64 {
	if t.removed {
		return 0
	}
	e.advance()
	t.removed = true
	if !t.started {
		return 0
	}
	done := e.virtualTime - t.startedAt
	e.running.Remove(t.index)
	e.startQueued()
	return done
}

func (e *engine) setSlowdown(factor float64) {
	e.advance()
	e.slowdown = factor
	e.armTimer()
}

// crash drops every task and notifies nobody.
func (e *engine) crash() {
	e.advance()
	e.down = true
	for e.running.Len() > 0 {
		t, _ := e.running.Min()
		t.removed = true
		e.running.Remove(0)
	}
	for _, t := range e.queue {
		t.removed = true
	}
	e.queue = nil
	e.armTimer()
}

func (e *engine) rate() float64 {
	n := float64(max(e.slots, e.running.Len()))
	return float64(e.slots) / n / e.slowdown
}

func (e *engine) advance() {
	e.virtualTime += e.loop.now.Sub(e.updatedAt).Seconds() * e.rate()
	e.updatedAt = e.loop.now
}

func (e *engine) startQueued() {
	for e.running.Len() < e.batch && len(e.queue) > 0 {
		t := e.queue[0]
		e.queue = e.queue[1:]
		if t.removed {
			continue
		}
		t.started = true
		t.startedAt = e.virtualTime
		t.milestone = e.virtualTime + t.work
		if t.onFirstToken != nil {
			t.milestone = e.virtualTime + t.prefill
		}
		e.running.Push(t)
	}
	e.armTimer()
}

func (e *engine) armTimer() {
	e.loop.cancel(e.timer)
	e.timer = nil
	t, ok := e.running.Min()
	if !ok {
		return
	}
	wait := max(0, t.milestone-e.virtualTime) / e.rate()
	e.timer = e.loop.after(time.Duration(math.Ceil(wait*1e9)), e.handleMilestones)
}

// handleMilestones handles the first tokens and the ends that are due.
func (e *engine) handleMilestones() {
	e.timer = nil
	e.advance()
	const tolerance = 1e-9
	for {
		t, ok := e.running.Min()
		if !ok || t.milestone > e.virtualTime+tolerance {
			break
		}
		if t.onFirstToken != nil && !t.prefilled {
			t.prefilled = true
			t.milestone = t.startedAt + t.work
			e.running.Fix(t.index)
			t.onFirstToken()
			continue
		}
		e.running.Remove(0)
		t.removed = true
		t.onDone()
	}
	e.startQueued()
}

// cache is an engine's prefix cache with least-recently-used eviction.
type cache struct {
	capacity int
	lastUse  map[int]uint64
	tick     uint64
}

func newCache(size int) *cache { return &cache{capacity: size, lastUse: map[int]uint64{}} }

// access returns whether the prefix was cached, caches it, and returns the prefix evicted for it, -1 for none.
func (c *cache) access(prefix int) (hit bool, evicted int) {
	c.tick++
	_, hit = c.lastUse[prefix]
	c.lastUse[prefix] = c.tick
	if hit || len(c.lastUse) <= c.capacity {
		return hit, -1
	}
	evicted = -1
	for p, at := range c.lastUse {
		if evicted < 0 || at < c.lastUse[evicted] {
			evicted = p
		}
	}
	delete(c.lastUse, evicted)
	return false, evicted
}

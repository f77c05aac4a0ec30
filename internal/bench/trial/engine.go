package trial

import (
	"math"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/limit/prio"
)

// task is one call on an engine; its work is in seconds at full speed.
type task struct {
	prefill float64
	work    float64
	first   func() // the first token is out
	done    func()

	index    int
	mark     float64 // virtual time of the next milestone
	begun    float64
	started  bool
	prefilld bool
	gone     bool
}

// engine shares its speed evenly between the tasks of a batch and queues the rest first come, first served.
type engine struct {
	loop    *loop
	slots   int // tasks that run at full speed together
	batch   int // most tasks in a batch
	slow    float64
	virtual float64
	at      time.Time
	running *prio.Heap[*task]
	queue   []*task
	next    *event
	cache   *cache
	down    bool
}

func newEngine(l *loop, slots, batch int) *engine {
	e := &engine{loop: l, slots: slots, batch: batch, slow: 1, at: l.now}
	e.running = prio.New(
		func(a, b *task) bool { return a.mark < b.mark },
		func(t *task, i int) { t.index = i },
	)
	return e
}

func (e *engine) submit(t *task) {
	e.advance()
	e.queue = append(e.queue, t)
	e.fill()
}

// stop drops a task and returns the seconds of work done on it.
func (e *engine) stop(t *task) float64 {
	if t.gone {
		return 0
	}
	e.advance()
	t.gone = true
	if !t.started {
		return 0
	}
	done := e.virtual - t.begun
	e.running.Remove(t.index)
	e.fill()
	return done
}

func (e *engine) setSlow(factor float64) {
	e.advance()
	e.slow = factor
	e.arm()
}

// crash drops every task without a word.
func (e *engine) crash() {
	e.advance()
	e.down = true
	for e.running.Len() > 0 {
		t, _ := e.running.Min()
		t.gone = true
		e.running.Remove(0)
	}
	for _, t := range e.queue {
		t.gone = true
	}
	e.queue = nil
	e.arm()
}

func (e *engine) rate() float64 {
	n := float64(max(e.slots, e.running.Len()))
	return float64(e.slots) / n / e.slow
}

func (e *engine) advance() {
	e.virtual += e.loop.now.Sub(e.at).Seconds() * e.rate()
	e.at = e.loop.now
}

func (e *engine) fill() {
	for e.running.Len() < e.batch && len(e.queue) > 0 {
		t := e.queue[0]
		e.queue = e.queue[1:]
		if t.gone {
			continue
		}
		t.started = true
		t.begun = e.virtual
		t.mark = e.virtual + t.work
		if t.first != nil {
			t.mark = e.virtual + t.prefill
		}
		e.running.Push(t)
	}
	e.arm()
}

func (e *engine) arm() {
	e.loop.cancel(e.next)
	e.next = nil
	t, ok := e.running.Min()
	if !ok {
		return
	}
	wait := max(0, t.mark-e.virtual) / e.rate()
	e.next = e.loop.after(time.Duration(math.Ceil(wait*1e9)), e.reach)
}

// reach handles the milestones that are due.
func (e *engine) reach() {
	e.next = nil
	e.advance()
	const tolerance = 1e-9
	for {
		t, ok := e.running.Min()
		if !ok || t.mark > e.virtual+tolerance {
			break
		}
		if t.first != nil && !t.prefilld {
			t.prefilld = true
			t.mark = t.begun + t.work
			e.running.Fix(t.index)
			t.first()
			continue
		}
		e.running.Remove(0)
		t.gone = true
		t.done()
	}
	e.fill()
}

// cache is an engine's memory of prompt prefixes, least recently used out first.
type cache struct {
	size  int
	held  map[int]uint64
	clock uint64
}

func newCache(size int) *cache { return &cache{size: size, held: map[int]uint64{}} }

// use returns whether the prefix was held, and the prefix evicted for it, -1 for none.
func (c *cache) use(prefix int) (hit bool, evicted int) {
	c.clock++
	_, hit = c.held[prefix]
	c.held[prefix] = c.clock
	if hit || len(c.held) <= c.size {
		return hit, -1
	}
	evicted = -1
	for p, at := range c.held {
		if evicted < 0 || at < c.held[evicted] {
			evicted = p
		}
	}
	delete(c.held, evicted)
	return false, evicted
}

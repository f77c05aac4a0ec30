package place_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
)

const (
	chunkTokens = 2048                 // prompt tokens that a step reads at most
	networkTime = 2 * time.Millisecond // one way between entries and engines
)

// kind is a kind of request in a load.
type kind struct {
	name          string
	rank          int
	weight        float64 // requests of the kind for each of the others'
	shared, own   int     // prompt tokens
	sessions      int     // that share their first part
	events        int
	tokensInEvent int
	target, gap   time.Duration
	fetch         time.Duration // at most, to fetch stage results before the prompt is read
}

// modelEngine reads prompts in chunks, which lengthen the step of all running requests.
type modelEngine struct {
	id        string
	rate      float64 // prompt tokens per ms
	slow      float64 // factor of the duration of its steps
	step      time.Duration
	slots     int
	waiting   []*simulated
	streaming []*simulated
	cached    map[string]bool
	stepping  bool
	held      int // tokens of the requests on it
	mostHeld  int
}

// simulated is a request in the simulation.
type simulated struct {
	kind
	id               string
	session          string
	engine           *modelEngine
	at, first, last  time.Duration
	unread, toDecode int
	maxGap           time.Duration
	refused, missed  bool
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	n  int
	do func()
}

// agenda is a heap of events by time.
type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].n < a[j].n
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(event)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// load is a simulation of engines under requests of several kinds.
type load struct {
	kinds   []kind
	engines map[string]*modelEngine
	table   *hosts.Table
	spec    rule.Engine
	placer  *place.Placer
	order   func(*simulated, place.Order) place.Order // adds what the kind says to an order; nil for nothing
	random  *rand.Rand
	agenda  agenda
	now     time.Duration
	n       int
	done    []*simulated
}

// newLoad returns engines of one pool that read at a rate, in tokens per ms.
func newLoad(engines int, rate float64, spec rule.Engine, kinds ...kind) *load {
	l := &load{kinds: kinds, engines: map[string]*modelEngine{}, spec: spec, placer: place.New(noLimits(), noBudget()),
		random: rand.New(rand.NewPCG(1, 2))}
	var all []hosts.Upstream
	for i := range engines {
		id := fmt.Sprintf("e%02d", i)
		l.engines[id] = &modelEngine{id: id, rate: rate, slow: 1, step: 5 * time.Millisecond, slots: spec.Slots, cached: map[string]bool{}}
		all = append(all, hosts.Upstream{ID: id, Pool: "p", Zone: fmt.Sprintf("z%d", i%3), State: hosts.Ready, StartedMs: 1})
	}
	l.table = hosts.New(all, start)
	l.placer.SetUpstreams(l.table)
	return l
}

func (l *load) after(d time.Duration, do func()) {
	l.n++
	heap.Push(&l.agenda, event{l.now + d, l.n, do})
}

// perSecond returns the requests per second of a kind at which the engines read a part of what they can.
func (l *load) perSecond(k kind, part float64) float64 {
	total, tokens := 0.0, 0.0
	for _, e := range l.engines {
		total += chunkTokens / (chunkTokens/e.rate + 7)
	}
	for _, k := range l.kinds {
		tokens += k.weight * float64(k.own)
	}
	return part * total * 1000 * k.weight / tokens
}

// run has requests arrive for a time, with part of what the engines can read, and returns when all have ended.
func (l *load) run(part float64, d time.Duration) {
	l.now = l.now.Truncate(5*time.Second) + 5*time.Second // so that arrivals depend on nothing before
	for i, k := range l.kinds {
		rate := l.perSecond(k, part)
		end, random := l.now+d, rand.New(rand.NewPCG(uint64(i), uint64(l.now)))
		var next func()
		next = func() {
			if l.now < end {
				l.arrive(k, random)
				l.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), next)
			}
		}
		l.after(0, next)
	}
	l.drain()
}

func (l *load) drain() {
	for len(l.agenda) > 0 {
		e := heap.Pop(&l.agenda).(event)
		l.now = e.at
		e.do()
	}
}

// arrive places one request.
func (l *load) arrive(k kind, random *rand.Rand) {
	l.n++
	fetch := networkTime + time.Duration(random.Float64()*float64(k.fetch))
	r := &simulated{kind: k, id: fmt.Sprint(k.name, l.n), session: fmt.Sprint(k.name, random.IntN(k.sessions)),
		at: l.now, toDecode: k.events * k.tokensInEvent}
	l.done = append(l.done, r)
	o := place.Order{ID: r.id, Pool: "p", Zone: "z0", Model: "m", PromptTokens: k.shared + k.own,
		OutputLimit: r.toDecode, Within: k.target, Left: k.target, Route: k.name, Rank: k.rank, Target: k.target, Gap: k.gap,
		Prefix: []call.PrefixBlock{{ID: "all", Tokens: k.shared / 3}, {ID: r.session, Tokens: k.shared - k.shared/3}, {ID: r.id, Tokens: k.own}}}
	if l.order != nil {
		o = l.order(r, o)
	}
	u, ok := l.placer.Pick(o, l.table, l.spec, start.Add(l.now))
	if !ok {
		r.refused = true
		return
	}
	r.engine = l.engines[u.ID]
	l.after(fetch, func() {
		r.unread = k.own
		if !r.engine.cached[r.session] {
			r.unread, r.missed = r.unread+k.shared, true
			r.engine.cached[r.session] = true
		}
		r.engine.hold(k.shared + k.own)
		r.engine.waiting = append(r.engine.waiting, r)
		if !r.engine.stepping {
			l.startStep(r.engine)
		}
	})
}

// startStep begins a step of an engine, which reads a chunk and gives each stream a token.
func (l *load) startStep(e *modelEngine) {
	if e.stepping = len(e.waiting)+len(e.streaming) > 0; !e.stepping {
		return
	}
	left, read := chunkTokens, []*simulated{}
	for _, r := range e.waiting {
		if left == 0 || len(e.streaming)+len(read) == e.slots {
			break
		}
		n := min(left, r.unread)
		r.unread -= n
		if left -= n; r.unread == 0 {
			read = append(read, r)
		}
	}
	e.waiting = e.waiting[len(read):]
	d := float64(e.step) + float64(len(e.streaming))*float64(20*time.Microsecond) +
		float64(chunkTokens-left)/e.rate*float64(time.Millisecond)
	l.after(time.Duration(d*e.slow), func() {
		e.streaming = append(e.streaming, read...)
		e.streaming = slices.DeleteFunc(e.streaming, l.decode)
		l.startStep(e)
	})
}

// hold changes the tokens that the engine holds.
func (e *modelEngine) hold(tokens int) {
	e.held += tokens
	e.mostHeld = max(e.mostHeld, e.held)
}

// decode gives a request a token and reports whether it was the last one.
func (l *load) decode(r *simulated) bool {
	r.engine.hold(1)
	r.toDecode--
	if (r.events*r.tokensInEvent-r.toDecode)%r.tokensInEvent != 0 {
		return false
	}
	if r.first == 0 {
		r.first = l.now + networkTime - r.at
		l.after(2*networkTime, func() { l.placer.FirstByte(r.id, start.Add(l.now)) })
	} else {
		r.maxGap = max(r.maxGap, l.now-r.last)
	}
	r.last = l.now
	if r.toDecode == 0 {
		r.engine.hold(-r.shared - r.own - r.events*r.tokensInEvent)
		l.after(2*networkTime, func() { l.placer.Ended(r.id) })
	}
	return r.toDecode == 0
}

// result is what the callers of a kind got.
type result struct {
	arrived, served int
	inTime          float64 // share of all requests that met both targets
	first99, gap99  time.Duration
	lateFirst       float64 // shares of those served
	lateGap         float64
}

func (r result) String() string {
	return fmt.Sprintf("%d of %d served, %.3f in time, first event %v, pause %v at the 99th percentile; late %.3f, paused %.3f",
		r.served, r.arrived, r.inTime, r.first99.Round(time.Millisecond), r.gap99.Round(time.Millisecond), r.lateFirst, r.lateGap)
}

// results returns what callers got that arrived in an interval.
func (l *load) results(name string, from, to time.Duration) result {
	var out result
	var firsts, gaps []time.Duration
	inTime, late, paused := 0, 0, 0
	for _, r := range l.done {
		if r.name != name || r.at < from || r.at >= to {
			continue
		}
		out.arrived++
		if r.refused {
			continue
		}
		out.served++
		firsts, gaps = append(firsts, r.first), append(gaps, r.maxGap)
		if r.first <= r.target && r.maxGap <= r.gap {
			inTime++
		}
		if r.first > r.target {
			late++
		}
		if r.maxGap > r.gap {
			paused++
		}
	}
	if out.served == 0 {
		return out
	}
	slices.Sort(firsts)
	slices.Sort(gaps)
	out.first99, out.gap99 = firsts[len(firsts)*99/100], gaps[len(gaps)*99/100]
	out.inTime = float64(inTime) / float64(out.arrived)
	out.lateFirst, out.lateGap = float64(late)/float64(out.served), float64(paused)/float64(out.served)
	return out
}

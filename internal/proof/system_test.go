package proof

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	verdict "github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

const (
	systemRequests = 120 // first sends of callers, per seed
	systemEntries  = 3
	answerBound    = time.Second // after the deadline, within which a caller has its answer
	resends        = 3
)

var systemDeadlines = []time.Duration{time.Second, 3 * time.Second, 11 * time.Second}

// result is one request as its caller saw it.
type result struct {
	id      string
	key     string
	stages  []stage.Spec
	input   []byte
	tokens  [][]byte // as streamed
	outcome outcome
	lasted  span
	late    time.Duration // after the deadline; negative before it
}

// tally counts requests and broken promises.
type tally struct {
	requests, whole, notRun                       int
	lost, doubled, misdelivered, ranButNotRun     int
	actionsTwice, actionsRanButNotRun, cutByStops int
	actionsNotRun                                 int
}

func (a *tally) add(b tally) {
	a.requests += b.requests
	a.whole += b.whole
	a.notRun += b.notRun
	a.lost += b.lost
	a.doubled += b.doubled
	a.misdelivered += b.misdelivered
	a.ranButNotRun += b.ranButNotRun
	a.actionsTwice += b.actionsTwice
	a.actionsRanButNotRun += b.actionsRanButNotRun
	a.cutByStops += b.cutByStops
	a.actionsNotRun += b.actionsNotRun
}

func (a tally) broken() int {
	return a.lost + a.doubled + a.misdelivered + a.ranButNotRun + a.actionsTwice + a.actionsRanButNotRun + a.cutByStops
}

func (a tally) String() string {
	return fmt.Sprintf("requests %d, whole %d, told notRun %d, told so of the action %d | lost %d, doubled %d, misdelivered %d, told notRun but ran %d, "+
		"actions run twice %d, actions told notRun but ran %d, cut by a planned stop %d",
		a.requests, a.whole, a.notRun, a.actionsNotRun, a.lost, a.doubled, a.misdelivered, a.ranButNotRun,
		a.actionsTwice, a.actionsRanButNotRun, a.cutByStops)
}

// faultSets are all faults singly and in pairs.
func faultSets() []chaos {
	sets := []chaos{newChaos()}
	for i, a := range allFaults {
		sets = append(sets, newChaos(a))
		for _, b := range allFaults[i+1:] {
			sets = append(sets, newChaos(a, b))
		}
	}
	return sets
}

func TestOutcomes(t *testing.T) {
	sum := runSystem(t, false)
	t.Logf("outcomes: %s", sum)
	qt.Assert(t, sum.broken(), qt.Equals, 0)
	qt.Assert(t, sum.requests >= 20000, qt.IsTrue, qt.Commentf("%d requests", sum.requests))
	qt.Assert(t, sum.notRun > 0 && sum.actionsNotRun > 0, qt.IsTrue)
	qt.Assert(t, sum.whole > sum.requests/2, qt.IsTrue, qt.Commentf("too few answers for the check to mean much"))
}

func TestNaiveOutcomesBreak(t *testing.T) {
	sum := runSystem(t, true)
	t.Logf("naive outcomes: %s", sum)
	for name, n := range map[string]int{
		"lost": sum.lost, "doubled": sum.doubled, "misdelivered": sum.misdelivered, "ran but told notRun": sum.ranButNotRun,
		"actions run twice": sum.actionsTwice, "cut by a planned stop": sum.cutByStops,
	} {
		qt.Check(t, n > 0, qt.IsTrue, qt.Commentf("%s", name))
	}
}

// shards of the seeds run at the same time.
const shards = 4

func runSystem(t *testing.T, naive bool) tally {
	var mu sync.Mutex
	var sum tally
	sets := faultSets()
	t.Run("shards", func(t *testing.T) {
		for shard := range shards {
			t.Run(fmt.Sprint(shard), func(t *testing.T) {
				t.Parallel()
				for seed := shard; seed < len(sets); seed += shards {
					got := runSeed(t, seed, naive, sets[seed])
					if !naive && got.broken() > 0 {
						t.Errorf("seed %d, faults %v: %s", seed, sets[seed], got)
					}
					mu.Lock()
					sum.add(got)
					mu.Unlock()
				}
			})
		}
	})
	return sum
}

func runSeed(t *testing.T, seed int, naive bool, faults chaos) tally {
	var got tally
	synctest.Test(t, func(t *testing.T) {
		got = newSystem(t, uint64(seed), naive, faults).run()
	})
	return got
}

// system is a whole deployment with its callers.
type system struct {
	w       *world
	chaos   chaos
	mu      sync.Mutex
	entries []*entry
	results []result
}

func newSystem(t *testing.T, seed uint64, naive bool, c chaos) *system {
	s := &system{w: newWorld(t, seed, naive), chaos: c}
	for _, p := range pools {
		for range p.hosts {
			s.w.addHost(p.spec, c)
		}
	}
	for range systemEntries {
		s.entries = append(s.entries, newEntry(s.w, c))
	}
	return s
}

func (s *system) run() tally {
	ctx, stop := context.WithCancel(context.Background())
	var trouble, callers sync.WaitGroup
	trouble.Go(func() { s.chaos.run(ctx, s.w) })
	trouble.Go(func() { s.entryTrouble(ctx) })
	time.Sleep(time.Second) // the entries find the sides
	for i := range systemRequests {
		callers.Go(func() { s.caller(i) })
	}
	callers.Wait()
	stop()
	trouble.Wait()
	time.Sleep(settleQuiet)
	for _, e := range s.entries {
		e.die()
	}
	s.w.close()
	return s.check()
}

// entryTrouble kills entries and puts new ones in their place.
func (s *system) entryTrouble(ctx context.Context) {
	for s.chaos[entryDies] && sleep(ctx, 500*time.Millisecond+s.w.rnd.duration(2*time.Second)) {
		i := s.w.rnd.intN(systemEntries)
		s.mu.Lock()
		old := s.entries[i]
		s.mu.Unlock()
		old.die()
		fresh := newEntry(s.w, s.chaos)
		s.mu.Lock()
		s.entries[i] = fresh
		s.mu.Unlock()
	}
}

func (s *system) entry() *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[s.w.rnd.intN(systemEntries)]
}

// caller sends one request, and again under a new identity but the same key while it has no answer.
func (s *system) caller(n int) {
	if !s.chaos[burst] || n%2 == 0 {
		time.Sleep(s.w.rnd.duration(15 * time.Second))
	} else {
		time.Sleep(5 * time.Second)
	}
	name := pickOne(s.w.rnd, "summary", "lookup", "embed", "transfer", "confirm")
	input := fmt.Appendf(nil, `{"caller":%d,"ask":%q,"poison":%t}`, n, strings.Repeat("x", n%7), s.poisonous(n))
	key := ""
	if name == "transfer" || name == "confirm" {
		key = mint()
	}
	for range resends {
		r := s.send(name, input, key)
		if r.outcome.err == nil {
			return
		}
		time.Sleep(s.w.rnd.duration(time.Second))
	}
}

func (s *system) poisonous(n int) bool { return s.chaos[poison] && n%20 == 0 }

func (s *system) send(name string, input []byte, key string) result {
	start := time.Now()
	deadline := pickOne(s.w.rnd, systemDeadlines...)
	r := &result{id: mint(), key: key, stages: pipelines[name], input: input}
	req := task.Request{
		ID:          r.id,
		Label:       r.id,
		Team:        team.Spec{Name: "treasury"},
		Pipeline:    pipe.Spec{Name: name},
		Stages:      r.stages,
		Pools:       poolSpecs(),
		Preset:      preset.Spec{HedgeBudget: 0.1},
		Input:       input,
		Key:         key,
		Fingerprint: ident.Fingerprint(name, input),
		Deadline:    start.Add(deadline),
	}
	e := s.entry()
	k := &sink{}
	if s.w.naive {
		r.outcome = e.naiveServe(req, k)
	} else {
		r.outcome = e.serve(req, k)
	}
	r.tokens = k.all()
	r.lasted = span{start, time.Now()}
	r.late = time.Since(start) - deadline
	s.mu.Lock()
	s.results = append(s.results, *r)
	s.mu.Unlock()
	return *r
}

// sink is the caller's end of a streamed answer.
type sink struct {
	mu     sync.Mutex
	tokens [][]byte
}

// Token takes one streamed token.
func (k *sink) Token(_ uint64, data []byte) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.tokens = append(k.tokens, data)
	return nil
}

func (k *sink) all() [][]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.tokens)
}

func poolSpecs() map[string]pool.Spec {
	out := map[string]pool.Spec{}
	for _, p := range pools {
		out[p.spec.Name] = p.spec
	}
	return out
}

// check compares what callers were told with what the workers ran.
func (s *system) check() tally {
	a := tally{cutByStops: s.w.cut()}
	byRequest := s.w.runs(func(c upstream.Call) string { return strings.SplitN(c.ID, "/", 2)[0] })
	byAction := s.w.runs(func(c upstream.Call) string {
		request, _, _ := strings.Cut(c.ID, "/")
		return request + "/" + c.Kind
	})
	for key, n := range s.w.runs(func(c upstream.Call) string { return c.Key }) {
		if key != "" && n > 1 {
			a.actionsTwice++
		}
	}
	for _, r := range s.results {
		a.add(s.judge(r, byRequest[r.id], byAction[r.id+"/service"]))
	}
	return a
}

// judge checks one request, which its upstreams ran so many times.
func (s *system) judge(r result, runs, actions int) tally {
	a := tally{requests: 1}
	if r.late > answerBound {
		a.lost++
	}
	if err := r.outcome.err; err != nil {
		if err.Verdict == verdict.NotRun {
			a.notRun++
			a.ranButNotRun += min(runs, 1)
		}
		if r.outcome.action == verdict.NotRun {
			a.actionsNotRun++
			a.actionsRanButNotRun += min(actions, 1)
		}
		if s.chaos[hostLeaves] && len(s.chaos) == 1 && !s.unserved(r) {
			a.cutByStops++
		}
		return a
	}
	a.whole++
	want := expected(r.stages, r.input)
	a.add(compare(r.outcome.chunks, want))
	if len(r.tokens) > 0 {
		a.add(compare(r.tokens, want))
	}
	return a
}

// unserved says whether a request that did not run, or reached its deadline, met a pool that planned stops had left
// without a host.
func (s *system) unserved(r result) bool {
	if err := r.outcome.err; err.Verdict != verdict.NotRun && err.Code != verdict.Deadline {
		return false
	}
	return slices.ContainsFunc(r.stages, func(st stage.Spec) bool { return s.w.absent.during(st.Pool, r.lasted) })
}

// compare finds what is missing from an answer, double in it or not its own.
func compare(got, want [][]byte) tally {
	var a tally
	own := map[string]int{}
	for _, c := range want {
		own[string(c)]++
	}
	seen := map[string]int{}
	for _, c := range got {
		seen[string(c)]++
		if own[string(c)] == 0 {
			a.misdelivered = 1
		}
	}
	for c, n := range own {
		if seen[c] < n {
			a.lost = 1
		}
		if seen[c] > n {
			a.doubled = 1
		}
	}
	if join(got) != join(want) && a.broken() == 0 {
		a.doubled = 1 // its own chunks in another order
	}
	return a
}

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
	systemRequests = 120 // per seed, resends not counted
	systemEntries  = 3
	maxLateness    = time.Second // after the deadline, by which a caller must have its answer
	maxSends       = 3
)

var systemDeadlines = []time.Duration{time.Second, 3 * time.Second, 11 * time.Second}

// result is one request as seen by its caller.
type result struct {
	id       string
	key      string
	stages   []stage.Spec
	input    []byte
	tokens   [][]byte // as streamed
	outcome  outcome
	interval span
	late     time.Duration // after the deadline; negative before it
}

// tally counts requests and violated guarantees.
type tally struct {
	requests, complete, notRun                       int
	lost, duplicated, misdelivered, ranButNotRun     int
	actionsRunTwice, actionsRanButNotRun, cutByStops int
	actionsNotRun                                    int
}

func (a *tally) add(b tally) {
	a.requests += b.requests
	a.complete += b.complete
	a.notRun += b.notRun
	a.lost += b.lost
	a.duplicated += b.duplicated
	a.misdelivered += b.misdelivered
	a.ranButNotRun += b.ranButNotRun
	a.actionsRunTwice += b.actionsRunTwice
	a.actionsRanButNotRun += b.actionsRanButNotRun
	a.cutByStops += b.cutByStops
	a.actionsNotRun += b.actionsNotRun
}

func (a tally) violations() int {
	return a.lost + a.duplicated + a.misdelivered + a.ranButNotRun +
		a.actionsRunTwice + a.actionsRanButNotRun + a.cutByStops
}

func (a tally) String() string {
	return fmt.Sprintf("requests %d, whole %d, told notRun %d, actions told notRun %d | lost %d, doubled %d, misdelivered %d, told notRun but ran %d, "+
		"actions run twice %d, actions told notRun but ran %d, cut by a planned stop %d",
		a.requests, a.complete, a.notRun, a.actionsNotRun, a.lost, a.duplicated, a.misdelivered, a.ranButNotRun,
		a.actionsRunTwice, a.actionsRanButNotRun, a.cutByStops)
}

// faultSets returns the empty set, every single fault and every pair of faults.
func faultSets() []faultSet {
	sets := []faultSet{newFaultSet()}
	for i, a := range allFaults {
		sets = append(sets, newFaultSet(a))
		for _, b := range allFaults[i+1:] {
			sets = append(sets, newFaultSet(a, b))
		}
	}
	return sets
}

// TestOutcomes checks that no guarantee is violated under any fault or pair of faults.
func TestOutcomes(t *testing.T) {
	sum := runSystem(t, false)
	t.Logf("outcomes: %s", sum)
	qt.Assert(t, sum.violations(), qt.Equals, 0)
	qt.Assert(t, sum.requests >= 20000, qt.IsTrue, qt.Commentf("%d requests", sum.requests))
	qt.Assert(t, sum.notRun > 0 && sum.actionsNotRun > 0, qt.IsTrue)
	qt.Assert(t, sum.complete > sum.requests/2, qt.IsTrue, qt.Commentf("too few answers for the check to mean much"))
}

// TestNaiveOutcomesBreak shows that the checks detect violations: a naive implementation commits them.
func TestNaiveOutcomesBreak(t *testing.T) {
	sum := runSystem(t, true)
	t.Logf("naive outcomes: %s", sum)
	for name, n := range map[string]int{
		"lost": sum.lost, "doubled": sum.duplicated, "misdelivered": sum.misdelivered,
		"ran but told notRun": sum.ranButNotRun,
		"actions run twice":   sum.actionsRunTwice, "cut by a planned stop": sum.cutByStops,
	} {
		qt.Check(t, n > 0, qt.IsTrue, qt.Commentf("%s", name))
	}
}

// shards is the number of groups of seeds that run in parallel.
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
					if !naive && got.violations() > 0 {
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

func runSeed(t *testing.T, seed int, naive bool, faults faultSet) tally {
	var got tally
	synctest.Test(t, func(t *testing.T) {
		got = newSystem(t, uint64(seed), naive, faults).run()
	})
	return got
}

// system is the environment with its entries and the results of their callers.
type system struct {
	env     *environment
	faults  faultSet
	mu      sync.Mutex
	entries []*entry
	results []result
}

func newSystem(t *testing.T, seed uint64, naive bool, faults faultSet) *system {
	s := &system{env: newEnvironment(t, seed, naive), faults: faults}
	for _, p := range pools {
		for range p.hosts {
			s.env.addHost(p.spec, faults)
		}
	}
	for range systemEntries {
		s.entries = append(s.entries, newEntry(s.env, faults))
	}
	return s
}

func (s *system) run() tally {
	ctx, stop := context.WithCancel(context.Background())
	var injectors, callers sync.WaitGroup
	injectors.Go(func() { s.faults.run(ctx, s.env) })
	injectors.Go(func() { s.replaceEntries(ctx) })
	time.Sleep(time.Second) // lets the entries connect to the sides
	for i := range systemRequests {
		callers.Go(func() { s.runCaller(i) })
	}
	callers.Wait()
	stop()
	injectors.Wait()
	time.Sleep(settleTime)
	for _, e := range s.entries {
		e.terminate()
	}
	s.env.close()
	return s.check()
}

// replaceEntries kills entries at random and starts new ones in their place, if entryDies is in force.
func (s *system) replaceEntries(ctx context.Context) {
	for s.faults[entryDies] && sleep(ctx, 500*time.Millisecond+s.env.rnd.duration(2*time.Second)) {
		i := s.env.rnd.intN(systemEntries)
		s.mu.Lock()
		old := s.entries[i]
		s.mu.Unlock()
		old.terminate()
		replacement := newEntry(s.env, s.faults)
		s.mu.Lock()
		s.entries[i] = replacement
		s.mu.Unlock()
	}
}

func (s *system) entry() *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[s.env.rnd.intN(systemEntries)]
}

// runCaller sends one request, and resends it under a new ID but the same key while it has no answer.
func (s *system) runCaller(n int) {
	if !s.faults[burst] || n%2 == 0 {
		time.Sleep(s.env.rnd.duration(15 * time.Second))
	} else {
		time.Sleep(5 * time.Second)
	}
	name := pickOne(s.env.rnd, "summary", "lookup", "embed", "transfer", "confirm")
	input := fmt.Appendf(nil, `{"caller":%d,"ask":%q,"poison":%t}`, n, strings.Repeat("x", n%7), s.isPoison(n))
	key := ""
	if name == "transfer" || name == "confirm" {
		key = newUUID()
	}
	for range maxSends {
		r := s.send(name, input, key)
		if r.outcome.err == nil {
			return
		}
		time.Sleep(s.env.rnd.duration(time.Second))
	}
}

func (s *system) isPoison(n int) bool { return s.faults[poison] && n%20 == 0 }

func (s *system) send(name string, input []byte, key string) result {
	start := time.Now()
	deadline := pickOne(s.env.rnd, systemDeadlines...)
	r := &result{id: newUUID(), key: key, stages: pipelines[name], input: input}
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
	out := &sink{}
	if s.env.naive {
		r.outcome = e.naiveServe(req, out)
	} else {
		r.outcome = e.serve(req, out)
	}
	r.tokens = out.all()
	r.interval = span{start, time.Now()}
	r.late = time.Since(start) - deadline
	s.mu.Lock()
	s.results = append(s.results, *r)
	s.mu.Unlock()
	return *r
}

// sink collects a streamed answer; it implements exec.Sink.
type sink struct {
	mu     sync.Mutex
	tokens [][]byte
}

// Token implements exec.Sink.
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
	a := tally{cutByStops: s.env.callsCut()}
	byRequest := s.env.runs(func(c upstream.Call) string { return strings.SplitN(c.ID, "/", 2)[0] })
	byAction := s.env.runs(func(c upstream.Call) string {
		request, _, _ := strings.Cut(c.ID, "/")
		return request + "/" + c.Kind
	})
	for key, n := range s.env.runs(func(c upstream.Call) string { return c.Key }) {
		if key != "" && n > 1 {
			a.actionsRunTwice++
		}
	}
	for _, r := range s.results {
		a.add(s.checkResult(r, byRequest[r.id], byAction[r.id+"/service"]))
	}
	return a
}

// checkResult checks one request, given how often its upstreams ran it and its action.
func (s *system) checkResult(r result, runs, actions int) tally {
	a := tally{requests: 1}
	if r.late > maxLateness {
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
		if s.faults[hostLeaves] && len(s.faults) == 1 && !s.metEmptyPool(r) {
			a.cutByStops++
		}
		return a
	}
	a.complete++
	want := expected(r.stages, r.input)
	a.add(compareChunks(r.outcome.chunks, want))
	if len(r.tokens) > 0 {
		a.add(compareChunks(r.tokens, want))
	}
	return a
}

// metEmptyPool reports whether a request that did not run, or reached its deadline, needed a pool that planned stops
// had left without a host.
func (s *system) metEmptyPool(r result) bool {
	if err := r.outcome.err; err.Verdict != verdict.NotRun && err.Code != verdict.Deadline {
		return false
	}
	return slices.ContainsFunc(r.stages,
		func(st stage.Spec) bool { return s.env.emptyPools.overlaps(st.Pool, r.interval) })
}

// compareChunks finds chunks of an answer that are lost, duplicated or belong to another request.
func compareChunks(got, want [][]byte) tally {
	var a tally
	expectedCount := map[string]int{}
	for _, c := range want {
		expectedCount[string(c)]++
	}
	gotCount := map[string]int{}
	for _, c := range got {
		gotCount[string(c)]++
		if expectedCount[string(c)] == 0 {
			a.misdelivered = 1
		}
	}
	for c, n := range expectedCount {
		if gotCount[c] < n {
			a.lost = 1
		}
		if gotCount[c] > n {
			a.duplicated = 1
		}
	}
	if join(got) != join(want) && a.violations() == 0 {
		a.duplicated = 1 // the right chunks in the wrong order
	}
	return a
}

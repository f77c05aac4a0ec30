package proof

import (
	"context"
	"fmt"
	"os"
	"runtime/debug"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/fake/inmem"
	"github.com/ragworthatch/ragworthatch/internal/fake/worker"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const (
	claimKeys    = 25 // per seed
	claimSides   = 3
	claimTries   = 5 // sends of one key
	settleQuiet  = 20 * time.Second
	claimService = "orders"
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(400) // many short-lived worlds
	os.Exit(m.Run())
}

// send is one call of an action as its caller saw it.
type send struct {
	key     string
	id      string // attempt
	began   time.Time
	ended   time.Time
	verdict string // empty when the answer came whole
	replay  bool
	answer  string
}

// claimRun drives one seed and keeps all sends.
type claimRun struct {
	w     *world
	chaos chaos
	mu    sync.Mutex
	sends []send
}

// violations of the promises about actions.
type violations struct {
	sends, keys, whole                    int
	twice, ranButNotRun, foreign, changed int
	nonlinear                             int
}

func (v *violations) add(o violations) {
	v.sends += o.sends
	v.keys += o.keys
	v.whole += o.whole
	v.twice += o.twice
	v.ranButNotRun += o.ranButNotRun
	v.foreign += o.foreign
	v.changed += o.changed
	v.nonlinear += o.nonlinear
}

func (v violations) total() int {
	return v.twice + v.ranButNotRun + v.foreign + v.changed + v.nonlinear
}

func (v violations) String() string {
	return fmt.Sprintf("sends %d, keys %d, whole %d | ran twice %d, told notRun but ran %d, misdelivered %d, answers differ %d, not linearizable %d",
		v.sends, v.keys, v.whole, v.twice, v.ranButNotRun, v.foreign, v.changed, v.nonlinear)
}

// claimFaults are the faults that touch claims, singly and in pairs.
var claimFaults = []fault{logDown, logLost, logLate, logSlow, sideDies, sidePauses, hostLeaves, upstreamFails, linkSilent, linkCut, linkCopies}

func claimChaos(seed int) chaos {
	n := len(claimFaults)
	a, b := claimFaults[seed%n], claimFaults[(seed/n)%n]
	return newChaos(a, b)
}

func TestClaims(t *testing.T) {
	sum := runClaims(t, false)
	t.Logf("claims: %s", sum)
	qt.Assert(t, sum.total(), qt.Equals, 0)
	qt.Assert(t, sum.whole > sum.keys/2, qt.IsTrue, qt.Commentf("too few answers for the check to mean much"))
}

func TestNaiveClaimsBreak(t *testing.T) {
	sum := runClaims(t, true)
	t.Logf("naive claims: %s", sum)
	qt.Assert(t, sum.twice > 0, qt.IsTrue)
	qt.Assert(t, sum.ranButNotRun > 0, qt.IsTrue)
}

func runClaims(t *testing.T, naive bool) violations {
	var sum violations
	for seed := range len(claimFaults) * len(claimFaults) {
		var v violations
		synctest.Test(t, func(t *testing.T) {
			v = newClaimRun(t, uint64(seed), naive, claimChaos(seed)).run()
		})
		if !naive && v.total() > 0 {
			t.Errorf("seed %d, faults %v: %s", seed, claimChaos(seed), v)
		}
		sum.add(v)
	}
	return sum
}

func newClaimRun(t *testing.T, seed uint64, naive bool, c chaos) *claimRun {
	r := &claimRun{w: newWorld(t, seed, naive), chaos: c}
	spec := pool.Spec{Name: claimService, Kind: pool.Service, SilentMs: 2000}
	for range claimSides {
		r.w.addHost(spec, c)
	}
	return r
}

func (r *claimRun) run() violations {
	ctx, stop := context.WithCancel(context.Background())
	var trouble, callers sync.WaitGroup
	trouble.Go(func() { r.chaos.run(ctx, r.w) })
	for i := range claimKeys {
		callers.Go(func() { r.caller(i) })
	}
	callers.Wait()
	stop()
	trouble.Wait()
	time.Sleep(settleQuiet) // late copies arrive and the logs catch up
	r.w.close()
	return r.check()
}

// caller sends one action until it is told a final answer.
func (r *claimRun) caller(n int) {
	time.Sleep(r.w.rnd.duration(5 * time.Second))
	key := mint()
	body := fmt.Appendf(nil, `{"order":%d,"key":%q}`, n, key)
	var wg sync.WaitGroup
	defer wg.Wait()
	for try := range claimTries {
		if r.w.rnd.chance(250) {
			wg.Go(func() { r.send(key, body, fmt.Sprintf("%s-%d-twin", key, try)) })
		}
		if r.send(key, body, fmt.Sprintf("%s-%d", key, try)) == "" {
			return
		}
		time.Sleep(r.w.rnd.duration(time.Second))
	}
}

// send calls a side and returns the verdict, empty for a whole answer.
func (r *claimRun) send(key string, body []byte, request string) string {
	h := r.w.hosts[r.w.rnd.intN(len(r.w.hosts))]
	s := send{key: key, began: time.Now()}
	remaining := 500*time.Millisecond + r.w.rnd.duration(5*time.Second)
	req := &sidepb.CallRequest{
		Id:          &sidepb.Identity{RequestId: request, Stage: "order", Attempt: 1, Incarnation: h.incarnation()},
		Team:        "treasury",
		Kind:        "service",
		Body:        body,
		RemainingMs: remaining.Milliseconds(),
		Action:      &sidepb.Action{Key: key, Service: claimService, BodyDigest: ident.BodyDigest(body)},
	}
	s.id = attemptName(req.Id)
	link := inmem.New(h.node, r.chaos.link(r.w))
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	r.exchange(ctx, link, req, &s)
	s.ended = time.Now()
	r.mu.Lock()
	r.sends = append(r.sends, s)
	r.mu.Unlock()
	return s.verdict
}

func (r *claimRun) exchange(ctx context.Context, link *inmem.Link, req *sidepb.CallRequest, s *send) {
	stream, err := link.Call(ctx, req)
	if err != nil {
		s.verdict = "mayHaveRun"
		return
	}
	if r.w.naive {
		chunks, verdict := naiveAnswer(stream)
		s.verdict, s.answer = verdict, join(chunks)
		return
	}
	a := readAnswer(req.Id, stream)
	s.verdict, s.answer, s.replay = a.verdict, a.answer, a.replay
	if s.verdict != "mayHaveRun" || !a.broken {
		return
	}
	// The stream broke: only a tombstone makes the verdict certain.
	cancel, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	reply, err := link.Cancel(cancel, &sidepb.CancelRequest{Id: req.Id, KeepMs: req.RemainingMs})
	if err == nil && reply.Verdict == "notRun" {
		s.verdict = "notRun"
	}
}

// check compares what callers were told with what the workers ran.
func (r *claimRun) check() violations {
	byKey := r.w.runs(func(c upstream.Call) string { return c.Key })
	byID := r.w.runs(func(c upstream.Call) string { return c.ID })
	v := violations{sends: len(r.sends), keys: claimKeys}
	for _, n := range byKey {
		if n > 1 {
			v.twice++
		}
	}
	answers := map[string]string{}
	bodies := map[string]string{}
	for _, h := range r.w.hosts {
		for _, run := range h.worker.Runs() {
			bodies[run.Call.Key] = join(worker.Answer(run.Call, 0))
		}
	}
	for _, s := range r.sends {
		switch {
		case s.verdict == "notRun" && byID[s.id] > 0:
			v.ranButNotRun++
		case s.verdict == "" && s.answer != bodies[s.key]:
			v.foreign++
		case s.verdict == "" && answers[s.key] != "" && answers[s.key] != s.answer:
			v.changed++
		case s.verdict == "":
			v.whole++
			answers[s.key] = s.answer
		}
	}
	if !porcupine.CheckOperations(claimModel, r.history()) {
		v.nonlinear++
	}
	return v
}

// claimModel is an action that runs at most once: a fresh answer runs it, a replayed one finds it run,
// and one that may have run leaves both open.
var claimModel = (&porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			byKey[op.Input.(string)] = append(byKey[op.Input.(string)], op)
		}
		var out [][]porcupine.Operation
		for _, ops := range byKey {
			out = append(out, ops)
		}
		return out
	},
	Init: func() []any { return []any{false} },
	Step: func(state, _, output any) []any {
		ran := state.(bool)
		switch s := output.(send); {
		case s.verdict == "notRun":
			return []any{ran}
		case s.verdict != "" && ran:
			return []any{true}
		case s.verdict != "":
			return []any{false, true}
		case s.replay && ran, !s.replay && !ran:
			return []any{true}
		}
		return nil
	},
}).ToModel()

// history is the sends as operations; what may have run may take effect at any later time.
func (r *claimRun) history() []porcupine.Operation {
	end := time.Now().Add(time.Hour).UnixNano()
	var out []porcupine.Operation
	for i, s := range r.sends {
		op := porcupine.Operation{ClientId: i, Input: s.key, Output: s, Call: s.began.UnixNano(), Return: s.ended.UnixNano()}
		if s.verdict == "mayHaveRun" {
			op.Return = end
		}
		out = append(out, op)
	}
	return out
}

// mint returns a key by the bubble's clock; uuid.NewV7 never goes back to an earlier bubble's.
func mint() string {
	id := uuid.Must(uuid.NewV7())
	ms := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

func attemptName(id *sidepb.Identity) string {
	return ident.Attempt{Request: id.GetRequestId(), Stage: id.GetStage(), Number: id.GetAttempt()}.String()
}

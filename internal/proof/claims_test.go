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
	claimKeys     = 25 // per seed
	claimSides    = 3
	maxClaimSends = 5 // sends of one key
	settleTime    = 20 * time.Second
	claimService  = "orders"
)

func TestMain(m *testing.M) {
	debug.SetGCPercent(400) // many short-lived environments
	os.Exit(m.Run())
}

// send is one call of an action as seen by its caller.
type send struct {
	key      string
	id       string // of the attempt
	began    time.Time
	ended    time.Time
	verdict  string // empty if the answer is complete
	replayed bool
	answer   string
}

// claimRun runs one seed and records all sends.
type claimRun struct {
	env    *environment
	faults faultSet
	mu     sync.Mutex
	sends  []send
}

// violations counts sends and violated guarantees about actions.
type violations struct {
	sends, keys, complete                               int
	ranTwice, ranButNotRun, misdelivered, answersDiffer int
	notLinearizable                                     int
}

func (v *violations) add(o violations) {
	v.sends += o.sends
	v.keys += o.keys
	v.complete += o.complete
	v.ranTwice += o.ranTwice
	v.ranButNotRun += o.ranButNotRun
	v.misdelivered += o.misdelivered
	v.answersDiffer += o.answersDiffer
	v.notLinearizable += o.notLinearizable
}

func (v violations) total() int {
	return v.ranTwice + v.ranButNotRun + v.misdelivered + v.answersDiffer + v.notLinearizable
}

func (v violations) String() string {
	return fmt.Sprintf("sends %d, keys %d, whole %d | ran twice %d, told notRun but ran %d, misdelivered %d, answers differ %d, not linearizable %d",
		v.sends, v.keys, v.complete, v.ranTwice, v.ranButNotRun, v.misdelivered, v.answersDiffer, v.notLinearizable)
}

// claimFaults lists the faults that affect claims.
var claimFaults = []fault{logDown, logLost, logLate, logSlow, sideDies, sidePauses, hostLeaves, upstreamFails,
	linkSilent, linkCut, linkCopies}

// claimFaultSet returns the one or two faults of a seed.
func claimFaultSet(seed int) faultSet {
	n := len(claimFaults)
	a, b := claimFaults[seed%n], claimFaults[(seed/n)%n]
	return newFaultSet(a, b)
}

// TestClaims checks that actions run at most once and that callers are told the truth, under single faults and pairs.
func TestClaims(t *testing.T) {
	sum := runClaims(t, false)
	t.Logf("claims: %s", sum)
	qt.Assert(t, sum.total(), qt.Equals, 0)
	qt.Assert(t, sum.complete > sum.keys/2, qt.IsTrue, qt.Commentf("too few answers for the check to mean much"))
}

// TestNaiveClaimsBreak shows that the checks detect violations: a naive implementation commits them.
func TestNaiveClaimsBreak(t *testing.T) {
	sum := runClaims(t, true)
	t.Logf("naive claims: %s", sum)
	qt.Assert(t, sum.ranTwice > 0, qt.IsTrue)
	qt.Assert(t, sum.ranButNotRun > 0, qt.IsTrue)
}

func runClaims(t *testing.T, naive bool) violations {
	var sum violations
	for seed := range len(claimFaults) * len(claimFaults) {
		var v violations
		synctest.Test(t, func(t *testing.T) {
			v = newClaimRun(t, uint64(seed), naive, claimFaultSet(seed)).run()
		})
		if !naive && v.total() > 0 {
			t.Errorf("seed %d, faults %v: %s", seed, claimFaultSet(seed), v)
		}
		sum.add(v)
	}
	return sum
}

func newClaimRun(t *testing.T, seed uint64, naive bool, faults faultSet) *claimRun {
	r := &claimRun{env: newEnvironment(t, seed, naive), faults: faults}
	spec := pool.Spec{Name: claimService, Kind: pool.Service, SilentMs: 2000}
	for range claimSides {
		r.env.addHost(spec, faults)
	}
	return r
}

func (r *claimRun) run() violations {
	ctx, stop := context.WithCancel(context.Background())
	var injectors, callers sync.WaitGroup
	injectors.Go(func() { r.faults.run(ctx, r.env) })
	for i := range claimKeys {
		callers.Go(func() { r.runCaller(i) })
	}
	callers.Wait()
	stop()
	injectors.Wait()
	time.Sleep(settleTime) // late copies arrive and the sides catch up with the log
	r.env.close()
	return r.check()
}

// runCaller sends one action until it has a complete answer or has used up its sends.
func (r *claimRun) runCaller(n int) {
	time.Sleep(r.env.rnd.duration(5 * time.Second))
	key := newUUID()
	body := fmt.Appendf(nil, `{"order":%d,"key":%q}`, n, key)
	var wg sync.WaitGroup
	defer wg.Wait()
	for try := range maxClaimSends {
		if r.env.rnd.chance(250) {
			wg.Go(func() { r.send(key, body, fmt.Sprintf("%s-%d-twin", key, try)) })
		}
		if r.send(key, body, fmt.Sprintf("%s-%d", key, try)) == "" {
			return
		}
		time.Sleep(r.env.rnd.duration(time.Second))
	}
}

// send calls a random side and returns the verdict, which is empty for a complete answer.
func (r *claimRun) send(key string, body []byte, request string) string {
	h := r.env.hosts[r.env.rnd.intN(len(r.env.hosts))]
	s := send{key: key, began: time.Now()}
	remaining := 500*time.Millisecond + r.env.rnd.duration(5*time.Second)
	req := &sidepb.CallRequest{
		Id:          &sidepb.Identity{RequestId: request, Stage: "order", Attempt: 1, Incarnation: h.incarnation()},
		Team:        "treasury",
		Kind:        "service",
		Body:        body,
		RemainingMs: remaining.Milliseconds(),
		Action:      &sidepb.Action{Key: key, Service: claimService, BodyDigest: ident.BodyDigest(body)},
	}
	s.id = attemptName(req.Id)
	link := inmem.New(h.node, r.faults.linkPlanner(r.env))
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
	if r.env.naive {
		chunks, verdict := naiveAnswer(stream)
		s.verdict, s.answer = verdict, join(chunks)
		return
	}
	a := readAnswer(req.Id, stream)
	s.verdict, s.answer, s.replayed = a.verdict, a.answer, a.replayed
	if s.verdict != "mayHaveRun" || !a.broken {
		return
	}
	// After a broken stream only a tombstone at the side proves that the call did not run.
	cancel, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	reply, err := link.Cancel(cancel, &sidepb.CancelRequest{Id: req.Id, KeepMs: req.RemainingMs})
	if err == nil && reply.Verdict == "notRun" {
		s.verdict = "notRun"
	}
}

// check compares what callers were told with what the workers ran.
func (r *claimRun) check() violations {
	byKey := r.env.runs(func(c upstream.Call) string { return c.Key })
	byID := r.env.runs(func(c upstream.Call) string { return c.ID })
	v := violations{sends: len(r.sends), keys: claimKeys}
	for _, n := range byKey {
		if n > 1 {
			v.ranTwice++
		}
	}
	answers := map[string]string{}
	bodies := map[string]string{}
	for _, h := range r.env.hosts {
		for _, run := range h.worker.Runs() {
			bodies[run.Call.Key] = join(worker.Answer(run.Call, 0))
		}
	}
	for _, s := range r.sends {
		switch {
		case s.verdict == "notRun" && byID[s.id] > 0:
			v.ranButNotRun++
		case s.verdict == "" && s.answer != bodies[s.key]:
			v.misdelivered++
		case s.verdict == "" && answers[s.key] != "" && answers[s.key] != s.answer:
			v.answersDiffer++
		case s.verdict == "":
			v.complete++
			answers[s.key] = s.answer
		}
	}
	if !porcupine.CheckOperations(claimModel, r.history()) {
		v.notLinearizable++
	}
	return v
}

// claimModel models an action that runs at most once. A fresh answer means that it ran now, a replayed one
// that it had run before; after a verdict of mayHaveRun it may or may not have run.
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
		case s.replayed && ran, !s.replayed && !ran:
			return []any{true}
		}
		return nil
	},
}).ToModel()

// history returns the sends as operations. Sends that may have run may take effect at any later time.
func (r *claimRun) history() []porcupine.Operation {
	end := time.Now().Add(time.Hour).UnixNano()
	var out []porcupine.Operation
	for i, s := range r.sends {
		op := porcupine.Operation{ClientId: i, Input: s.key, Output: s,
			Call: s.began.UnixNano(), Return: s.ended.UnixNano()}
		if s.verdict == "mayHaveRun" {
			op.Return = end
		}
		out = append(out, op)
	}
	return out
}

// newUUID returns a UUIDv7 with the time of the synctest bubble. The time of uuid.NewV7 never decreases, so on its own
// it would be ahead of a bubble that starts after another one.
func newUUID() string {
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

package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
)

// maxInFlight is the maximum number of requests in flight; a request over it is counted as skipped.
const maxInFlight = 20_000

// Options configure a run.
type Options struct {
	Entries  []string // IP:port addresses, used round-robin
	Token    string   // bearer token of the team
	Rate     float64  // mean requests a second
	Duration time.Duration
	Mix      Mix
	Seed     uint64
	Stream   bool
}

// Caller sends a request and waits for its answer.
type Caller interface {
	Call(ctx context.Context, entry string, r caller.Request) caller.Answer
}

// Generator sends the requests of one run.
type Generator struct {
	options Options
	caller  Caller
	random  *rand.Rand
	results *results
}

// New returns a generator for one run, or an error that names the invalid option.
func New(o Options, c Caller) (*Generator, error) {
	switch {
	case len(o.Entries) == 0:
		return nil, errors.New("no entry to call")
	case !(o.Rate > 0):
		return nil, fmt.Errorf("rate must be above 0, not %g", o.Rate)
	case o.Duration <= 0:
		return nil, fmt.Errorf("duration must be above 0, not %s", o.Duration)
	case len(o.Mix) == 0:
		return nil, errors.New("no pipeline in the mix")
	}
	return &Generator{options: o, caller: c, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), results: newResults()}, nil
}

// Run sends requests at exponentially distributed intervals until the duration is over or ctx ends, then waits for the
// answers. The latency of a request is measured from the time at which it was due.
func (g *Generator) Run(ctx context.Context) Report {
	var answers sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	start := time.Now()
	due := start
	for i := 0; ; i++ {
		due = due.Add(time.Duration(g.random.ExpFloat64() / g.options.Rate * float64(time.Second)))
		if due.Sub(start) >= g.options.Duration || !sleepUntil(ctx, due) {
			break
		}
		part, request := g.nextRequest(i)
		select {
		case slots <- struct{}{}:
		default:
			g.results.addSkipped(part)
			continue
		}
		entry := g.options.Entries[i%len(g.options.Entries)]
		dueAt := due
		answers.Go(func() {
			g.results.addAnswer(part, g.caller.Call(ctx, entry, request), time.Since(dueAt))
			<-slots
		})
	}
	answers.Wait()
	return g.results.report(time.Since(start))
}

// nextRequest returns request number i, of a part of the mix that is chosen at random.
func (g *Generator) nextRequest(i int) (Part, caller.Request) {
	part := g.options.Mix.pick(g.random)
	r := caller.Request{
		ID:       fmt.Sprintf("load-%d-%d", g.options.Seed, i),
		Pipeline: part.Pipeline,
		Token:    g.options.Token,
		Deadline: part.Deadline,
		Stream:   g.options.Stream,
	}
	if part.Action {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	// The input always encodes.
	r.Input, _ = json.Marshal(requestInput{Marker: r.ID, Question: fmt.Sprintf("question %d", g.random.IntN(1000))})
	return part, r
}

// requestInput is the input of a request.
type requestInput struct {
	Marker   string `json:"marker"`
	Question string `json:"question"`
}

// sleepUntil waits until t. It returns false if ctx ends first.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

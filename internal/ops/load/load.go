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

// Load is one run.
type Load struct {
	options Options
	caller  Caller
	random  *rand.Rand
	results *results
}

// New returns a run with the given options, or an error that names the invalid option.
func New(o Options, c Caller) (*Load, error) {
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
	return &Load{options: o, caller: c, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), results: newResults()}, nil
}

// Run sends requests at exponentially distributed intervals until the duration is over or ctx ends, then waits for the
// answers. The latency of a request is measured from the time at which it was due.
func (l *Load) Run(ctx context.Context) Report {
	var answers sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	start := time.Now()
	due := start
	for i := 0; ; i++ {
		due = due.Add(time.Duration(l.random.ExpFloat64() / l.options.Rate * float64(time.Second)))
		if due.Sub(start) >= l.options.Duration || !sleepUntil(ctx, due) {
			break
		}
		part, request := l.nextRequest(i)
		select {
		case slots <- struct{}{}:
		default:
			l.results.addSkipped(part)
			continue
		}
		entry := l.options.Entries[i%len(l.options.Entries)]
		dueAt := due
		answers.Go(func() {
			l.results.addAnswer(part, l.caller.Call(ctx, entry, request), time.Since(dueAt))
			<-slots
		})
	}
	answers.Wait()
	return l.results.report(time.Since(start))
}

func (l *Load) nextRequest(i int) (Part, caller.Request) {
	part := l.options.Mix.pick(l.random)
	r := caller.Request{
		ID:       fmt.Sprintf("load-%d-%d", l.options.Seed, i),
		Pipeline: part.Pipeline,
		Token:    l.options.Token,
		Deadline: part.Deadline,
		Stream:   l.options.Stream,
	}
	if part.Action {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	// The input always encodes.
	r.Input, _ = json.Marshal(requestInput{Marker: r.ID, Question: fmt.Sprintf("question %d", l.random.IntN(1000))})
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

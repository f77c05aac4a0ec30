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

// maxInFlight bounds the requests that are open at a time; more are skipped and counted.
const maxInFlight = 20_000

// Options describe a run.
type Options struct {
	Entries  []string // IP:port addresses, used in turn
	Token    string
	Rate     float64 // requests a second
	Duration time.Duration
	Mix      Mix
	Seed     uint64
	Stream   bool
}

// Caller sends one request.
type Caller interface {
	Call(ctx context.Context, entry string, r caller.Request) caller.Answer
}

// Load is one run.
type Load struct {
	o       Options
	caller  Caller
	random  *rand.Rand
	results *results
}

// New checks the options.
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
	return &Load{o: o, caller: c, random: rand.New(rand.NewPCG(o.Seed, o.Seed)), results: newResults()}, nil
}

// Run sends requests at random times of the given rate until the duration is over or ctx
// ends, then waits for the answers. A latency counts from the time the request was due.
func (l *Load) Run(ctx context.Context) Report {
	var answers sync.WaitGroup
	slots := make(chan struct{}, maxInFlight)
	start := time.Now()
	due := start
	for i := 0; ; i++ {
		due = due.Add(time.Duration(l.random.ExpFloat64() / l.o.Rate * float64(time.Second)))
		if due.Sub(start) >= l.o.Duration || !sleepUntil(ctx, due) {
			break
		}
		part, request := l.next(i)
		select {
		case slots <- struct{}{}:
		default:
			l.results.skip(part)
			continue
		}
		entry := l.o.Entries[i%len(l.o.Entries)]
		dueAt := due
		answers.Go(func() {
			l.results.add(part, l.caller.Call(ctx, entry, request), time.Since(dueAt))
			<-slots
		})
	}
	answers.Wait()
	return l.results.report(time.Since(start))
}

func (l *Load) next(i int) (Part, caller.Request) {
	part := l.o.Mix.pick(l.random)
	r := caller.Request{
		ID:       fmt.Sprintf("load-%d-%d", l.o.Seed, i),
		Pipeline: part.Pipeline,
		Token:    l.o.Token,
		Deadline: part.Deadline,
		Stream:   l.o.Stream,
	}
	if part.Action {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	r.Input, _ = json.Marshal(input{Marker: r.ID, Question: fmt.Sprintf("question %d", l.random.IntN(1000))}) // always encodes
	return part, r
}

// input is the body of each request.
type input struct {
	Marker   string `json:"marker"`
	Question string `json:"question"`
}

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

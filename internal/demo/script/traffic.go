package script

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/demo/tally"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
)

// requestsPerSecond is the mean rate of the background traffic.
const requestsPerSecond = 40

// deadlines holds the deadline of each pipeline's requests, after which an answer counts as late.
var deadlines = map[string]time.Duration{
	"summary":  11 * time.Second,
	"lookup":   4 * time.Second,
	"transfer": 8 * time.Second,
}

// sendTraffic sends requests at random times until ctx ends, then waits for their answers.
func (d *Demo) sendTraffic(ctx context.Context) {
	rng := rand.New(rand.NewPCG(d.opts.Seed, 1))
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for i := 0; ; i++ {
		gap := time.Duration(rng.ExpFloat64() / requestsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		pipeline, team := "lookup", CollectorsToken
		switch n := rng.IntN(10); {
		case n < 4:
			pipeline = "summary"
		case n < 6:
			pipeline = "transfer"
		}
		if rng.IntN(2) == 0 {
			team = StockistsToken
		}
		marker := fmt.Sprintf("r%d-%d", d.opts.Seed, i)
		inFlight.Go(func() { d.send(context.WithoutCancel(ctx), i, newRequest(marker, pipeline, team)) })
	}
}

// newRequest builds a request with a marker by which the fake upstreams recognize it at every stage.
func newRequest(marker, pipeline, token string) caller.Request {
	input, _ := json.Marshal(map[string]string{ // strings always encode
		"marker":   marker,
		"question": "What became of the coins of " + marker + "?",
	})
	r := caller.Request{
		ID: marker, Pipeline: pipeline, Token: token, Input: input,
		Deadline: deadlines[pipeline], Stream: pipeline == "summary",
	}
	if pipeline == "transfer" {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	return r
}

// send sends a request to the entry at index, modulo the number of entries, and adds the answer to the tally.
func (d *Demo) send(ctx context.Context, index int, r caller.Request) caller.Answer {
	const answerGrace = 10 * time.Second // time to wait for an answer past the deadline
	deadline := deadlines[r.Pipeline]
	ctx, cancel := context.WithTimeout(ctx, deadline+answerGrace)
	defer cancel()
	addresses := d.EntryAddresses()
	answer := d.caller.Call(ctx, addresses[index%len(addresses)], r)
	d.tally.Add(tally.Call{Marker: r.ID, Request: r, Answer: answer, LateAfter: deadline})
	return answer
}

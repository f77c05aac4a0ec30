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

// requestsPerSecond is the rate of the day's ordinary traffic.
const requestsPerSecond = 40

// limits are the deadlines that the callers count by.
var limits = map[string]time.Duration{
	"summary":  11 * time.Second,
	"lookup":   4 * time.Second,
	"transfer": 8 * time.Second,
}

// traffic sends requests at random times until ctx ends, and waits for the answers.
func (d *Day) traffic(ctx context.Context) {
	random := rand.New(rand.NewPCG(d.o.Seed, 1))
	var answers sync.WaitGroup
	defer answers.Wait()
	for i := 0; ; i++ {
		gap := time.Duration(random.ExpFloat64() / requestsPerSecond * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		pipeline, team := "lookup", CollectorsToken
		switch n := random.IntN(10); {
		case n < 4:
			pipeline = "summary"
		case n < 6:
			pipeline = "transfer"
		}
		if random.IntN(2) == 0 {
			team = StockistsToken
		}
		marker := fmt.Sprintf("r%d-%d", d.o.Seed, i)
		answers.Go(func() { d.send(context.WithoutCancel(ctx), i, request(marker, pipeline, team)) })
	}
}

// request builds a request whose marker the stand-ins find at every stage.
func request(marker, pipeline, token string) caller.Request {
	input, _ := json.Marshal(map[string]string{ // strings always encode
		"marker":   marker,
		"question": "What became of the coins of " + marker + "?",
	})
	r := caller.Request{
		ID: marker, Pipeline: pipeline, Token: token, Input: input,
		Deadline: limits[pipeline], Stream: pipeline == "summary",
	}
	if pipeline == "transfer" {
		r.Key = uuid.Must(uuid.NewV7()).String()
	}
	return r
}

// send calls the entry whose turn it is and adds the answer to the tally.
func (d *Day) send(ctx context.Context, turn int, r caller.Request) caller.Answer {
	const patience = 10 * time.Second // beyond the deadline
	limit := limits[r.Pipeline]
	ctx, cancel := context.WithTimeout(ctx, limit+patience)
	defer cancel()
	addresses := d.Entries()
	a := d.caller.Call(ctx, addresses[turn%len(addresses)], r)
	d.tally.Add(tally.Call{Marker: r.ID, Request: r, Answer: a, Limit: limit})
	return a
}

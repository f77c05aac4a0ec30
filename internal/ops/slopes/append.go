package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/sidecar/claimer"
	"github.com/ragworthatch/ragworthatch/internal/state/claim"
)

const (
	appendDuration = 5 * time.Second
	appendLatency  = 5 * time.Millisecond // added to each append to the log
	actionTimeout  = 5 * time.Second
)

// appendCost is the load that the sides of one service put on its action stream.
type appendCost struct {
	sides    int
	rate     float64 // actions a second over all sides
	finished int64
	failed   int64
	appends  float64 // a second
	reads    float64 // a second
}

// measureAppends runs actions at random times on sides that share an action stream.
func measureAppends(sides int, rate float64) appendCost {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	log := memlog.New()
	log.DelayAppend(appendLatency)
	var loops, actions sync.WaitGroup
	var claimers []*claimer.Claimer
	for i := range sides {
		c := claimer.New(claimer.Options{Log: log, Service: "treasury", Owner: fmt.Sprint("side-", i),
			Now: time.Now, Zap: zap.NewNop()})
		loops.Go(func() { c.Run(ctx) })
		claimers = append(claimers, c)
	}
	for _, c := range claimers {
		_ = c.WaitAvailable(ctx) // ctx does not end before the run does
	}
	cost := appendCost{sides: sides, rate: rate}
	var finished, failed atomic.Int64
	random := rand.New(rand.NewPCG(1, 1))
	appends, reads, start := log.Appends(), log.Reads(), time.Now()
	for due := start; ; {
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if due.Sub(start) >= appendDuration {
			break
		}
		time.Sleep(time.Until(due))
		c := claimers[random.IntN(sides)]
		actions.Go(func() {
			if runAction(ctx, c) {
				finished.Add(1)
			} else {
				failed.Add(1)
			}
		})
	}
	actions.Wait()
	for _, c := range claimers {
		_ = c.Flush(ctx)
	}
	took := time.Since(start).Seconds()
	cost.appends, cost.reads = float64(log.Appends()-appends)/took, float64(log.Reads()-reads)/took
	cost.finished, cost.failed = finished.Load(), failed.Load()
	stop()
	loops.Wait()
	return cost
}

// runAction claims an action, runs it and records its outcome. It returns false if the action could not be claimed.
func runAction(ctx context.Context, c *claimer.Claimer) bool {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	key, err := uuid.NewV7()
	if err != nil {
		return false
	}
	run := c.Begin(claimer.Request{
		Key: claim.Key{Team: "collectors", Key: key.String()}, BodyDigest: "00", Until: time.Now().Add(actionTimeout),
	})
	_, held, err := run.Wait(ctx)
	if err != nil || !held {
		run.Release()
		return false
	}
	time.Sleep(serviceTime)
	run.Finish(fault.Ran, [][]byte{[]byte(`{"receipt":1}`)})
	return true
}

// String formats the rates and counts.
func (c appendCost) String() string {
	return fmt.Sprintf("action stream, %2d sides, %3.0f actions/s: %.1f appends/s, %.1f reads/s; %d finished, %d failed",
		c.sides, c.rate, c.appends, c.reads, c.finished, c.failed)
}

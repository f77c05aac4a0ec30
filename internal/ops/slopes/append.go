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
	appendTime    = 5 * time.Second
	appendLatency = 5 * time.Millisecond // of the log, for an append
	actionLimit   = 5 * time.Second
)

// appendCost is what the sides of one service ask of its action stream.
type appendCost struct {
	sides    int
	rate     float64 // actions a second, over all sides
	finished int64
	failed   int64
	appends  float64 // a second
	reads    float64 // a second
}

// measureAppends sends actions at random times to sides that share an action stream.
func measureAppends(sides int, rate float64) appendCost {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	log := memlog.New()
	log.DelayAppend(appendLatency)
	var loops, actions sync.WaitGroup
	var windows []*claimer.Claimer
	for i := range sides {
		w := claimer.New(claimer.Options{Log: log, Service: "treasury", Owner: fmt.Sprint("side-", i), Now: time.Now, Zap: zap.NewNop()})
		loops.Go(func() { w.Run(ctx) })
		windows = append(windows, w)
	}
	for _, w := range windows {
		_ = w.WaitAvailable(ctx) // ctx does not end before the run does
	}
	c := appendCost{sides: sides, rate: rate}
	var finished, failed atomic.Int64
	random := rand.New(rand.NewPCG(1, 1))
	appends, reads, start := log.Appends(), log.Reads(), time.Now()
	for due := start; ; {
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if due.Sub(start) >= appendTime {
			break
		}
		time.Sleep(time.Until(due))
		w := windows[random.IntN(sides)]
		actions.Go(func() {
			if act(ctx, w) {
				finished.Add(1)
			} else {
				failed.Add(1)
			}
		})
	}
	actions.Wait()
	for _, w := range windows {
		_ = w.Flush(ctx)
	}
	took := time.Since(start).Seconds()
	c.appends, c.reads = float64(log.Appends()-appends)/took, float64(log.Reads()-reads)/took
	c.finished, c.failed = finished.Load(), failed.Load()
	stop()
	loops.Wait()
	return c
}

// act claims an action, runs it and records its outcome.
func act(ctx context.Context, w *claimer.Claimer) bool {
	ctx, cancel := context.WithTimeout(ctx, actionLimit)
	defer cancel()
	key, err := uuid.NewV7()
	if err != nil {
		return false
	}
	run := w.Begin(claimer.Request{
		Key: claim.Key{Team: "collectors", Key: key.String()}, BodyDigest: "00", Until: time.Now().Add(actionLimit),
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

// String gives the rates.
func (c appendCost) String() string {
	return fmt.Sprintf("action stream, %2d sides, %3.0f actions/s: %.1f appends/s, %.1f reads/s; %d finished, %d failed",
		c.sides, c.rate, c.appends, c.reads, c.finished, c.failed)
}

package serve

import (
	"sync/atomic"

	"github.com/ragworthatch/ragworthatch/internal/sidecar/claimer"
)

// Counts is a snapshot of a side's counters since its start, and of its gauges.
type Counts struct {
	Received          int64 // calls received
	Admitted          int64
	Refused           int64 // calls that ended with NotRun before dispatch
	Dispatched        int64
	Whole             int64 // calls answered completely
	Failed            int64 // calls that failed after dispatch
	Replayed          int64 // recorded answers sent again
	Duplicates        int64 // copies of received calls, refused
	Tombstoned        int64 // calls refused by a tombstone
	Canceled          int64 // cancel requests received
	StrayAnswers      int64 // upstream events dropped because they belong to another call
	Crashes           int64 // calls that failed in a crash of the upstream
	SilentConnections int64 // connections to the upstream that went silent
	Reruns            int64 // repeatable calls sent again on a new connection
	Running           int64
	Queued            int64
	Limit             int64          // concurrency limit of the gate, in calls
	Remembered        int64          // attempts and tombstones held in memory
	Stream            claimer.Counts // of the action stream; zero without one
}

// counters are the counters behind Counts.
type counters struct {
	received, admitted, refused, dispatched, completed, failed atomic.Int64
	replayed, duplicates, tombstoned, canceled                 atomic.Int64
	strayAnswers, crashes, silentConnections, rerunCalls       atomic.Int64
}

// Counts returns the current counts.
func (s *Server) Counts() Counts {
	c := &s.counters
	var stream claimer.Counts
	if s.claims != nil {
		stream = s.claims.Counts()
	}
	return Counts{
		Received:          c.received.Load(),
		Admitted:          c.admitted.Load(),
		Refused:           c.refused.Load(),
		Dispatched:        c.dispatched.Load(),
		Whole:             c.completed.Load(),
		Failed:            c.failed.Load(),
		Replayed:          c.replayed.Load(),
		Duplicates:        c.duplicates.Load(),
		Tombstoned:        c.tombstoned.Load(),
		Canceled:          c.canceled.Load(),
		StrayAnswers:      c.strayAnswers.Load(),
		Crashes:           c.crashes.Load(),
		SilentConnections: c.silentConnections.Load(),
		Reruns:            c.rerunCalls.Load(),
		Running:           int64(s.attempts.Running()),
		Queued:            int64(s.attempts.Queued()),
		Limit:             int64(s.opts.Gate.Load().Limit),
		Remembered:        int64(s.attempts.Len()),
		Stream:            stream,
	}
}

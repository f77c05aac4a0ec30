package serve

import (
	"sync/atomic"

	"github.com/ragworthatch/ragworthatch/internal/sidecar/claimer"
)

// Counts is a snapshot of what the side counted since its start.
type Counts struct {
	Received   int64 // calls
	Admitted   int64
	Refused    int64 // calls that ended with NotRun before dispatch
	Dispatched int64
	Whole      int64
	Failed     int64 // calls that failed after dispatch
	Replayed   int64 // recorded outcomes given again
	Duplicates int64 // copies of calls that were not run again
	Tombstoned int64 // calls refused by a tombstone
	Canceled   int64 // cancels received
	Strays     int64 // upstream answers dropped, as they carried another identity
	Crashes    int64 // upstream crashes seen
	Silences   int64 // connections to the upstream that went silent
	Rerun      int64 // repeatable calls sent again on a new connection
	Running    int64
	Queued     int64
	Limit      int64          // calls that may run at once
	Remembered int64          // attempts and tombstones held in memory
	Stream     claimer.Counts // of the action stream; zero without one
}

type counters struct {
	received, admitted, refused, dispatched, whole, failed atomic.Int64
	replayed, duplicates, tombstoned, canceled             atomic.Int64
	strays, crashes, silences, rerun                       atomic.Int64
}

// Counts returns the counters now.
func (s *Server) Counts() Counts {
	c := &s.counters
	var stream claimer.Counts
	if s.window != nil {
		stream = s.window.Counts()
	}
	return Counts{
		Received:   c.received.Load(),
		Admitted:   c.admitted.Load(),
		Refused:    c.refused.Load(),
		Dispatched: c.dispatched.Load(),
		Whole:      c.whole.Load(),
		Failed:     c.failed.Load(),
		Replayed:   c.replayed.Load(),
		Duplicates: c.duplicates.Load(),
		Tombstoned: c.tombstoned.Load(),
		Canceled:   c.canceled.Load(),
		Strays:     c.strays.Load(),
		Crashes:    c.crashes.Load(),
		Silences:   c.silences.Load(),
		Rerun:      c.rerun.Load(),
		Running:    int64(s.flights.Running()),
		Queued:     int64(s.flights.Queued()),
		Limit:      int64(s.opts.Gate.Load().Limit),
		Remembered: int64(s.flights.Len()),
		Stream:     stream,
	}
}

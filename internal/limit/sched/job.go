package sched

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
)

// Call describes a call that asks to run.
type Call struct {
	Team        string
	Weight      float64 // fair share weight of the team; 0 means 1
	SizeClass   pipe.SizeClass
	Remaining   time.Duration // until the request's deadline
	LaterStages time.Duration // that later stages are expected to take
	Estimate    time.Duration // that the call is expected to run; 0 takes the smoothed time of its size class
	Priority    uint32        // 0 is the most urgent
	Exclusive   bool          // runs with no other call in flight
}

// Result is how a call ended.
type Result struct {
	// Latency is compared with the target; 0 takes the time since the start.
	Latency time.Duration
	// Failed keeps the latency out of the limit's mean.
	Failed bool
}

// State says where a job is.
type State string

// The states of a job.
const (
	Queued   State = "queued"
	Running  State = "running"
	Finished State = "finished"
)

// Job is a call that was accepted.
type Job[V any] struct {
	Call  Call
	Value V
	// Waited is the time in the queue.
	Waited time.Duration

	state       State
	arrived     time.Time
	started     time.Time
	latestStart time.Time
	due         time.Time
	cost        time.Duration
	seq         uint64
	lane        *lane[V]
	flow        *flow[V]
	laneIndex   int
	flowIndex   int
	expiryIndex int
}

// State says where the job is.
func (j *Job[V]) State() State { return j.state }

func sooner[V any](a, b *Job[V]) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.seq < b.seq
}

func expiresSooner[V any](a, b *Job[V]) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.seq < b.seq
}

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
	LaterStages time.Duration // expected time of the later stages
	Estimate    time.Duration // expected run time; 0 means the smoothed run time of its size class
	Priority    uint32        // 0 is the most urgent
	Exclusive   bool          // runs only while no other call is in flight
}

// Result describes how a call ended.
type Result struct {
	// Latency is compared with the target latency; 0 means the time since the start.
	Latency time.Duration
	// Failed leaves the latency out of the mean that adapts the limit.
	Failed bool
}

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued   State = "queued"
	Running  State = "running"
	Finished State = "finished"
)

// Job is an accepted call with the caller's value.
type Job[V any] struct {
	Call  Call
	Value V
	// Waited is the time spent in the queue, set at the start.
	Waited time.Duration

	state       State
	arrived     time.Time
	started     time.Time
	latestStart time.Time
	due         time.Time     // orders the queue
	cost        time.Duration // expected run time
	seq         uint64        // number of the offer, which orders jobs with equal times
	queue       *queue[V]
	flow        *flow[V]
	queueIndex  int // in the queue's heap, or in that of the exclusive calls
	flowIndex   int // in the flow's heap
	expiryIndex int // in the scheduler's heap of all queued jobs
}

// State returns the state of the job.
func (j *Job[V]) State() State { return j.state }

// dueBefore orders jobs by due time.
func dueBefore[V any](a, b *Job[V]) bool {
	if !a.due.Equal(b.due) {
		return a.due.Before(b.due)
	}
	return a.seq < b.seq
}

// expiresBefore orders jobs by the latest time at which they may start.
func expiresBefore[V any](a, b *Job[V]) bool {
	if !a.latestStart.Equal(b.latestStart) {
		return a.latestStart.Before(b.latestStart)
	}
	return a.seq < b.seq
}

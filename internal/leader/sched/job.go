package sched

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

// Stage is one stage of a job.
type Stage struct {
	Pool        string // of the stage upstreams that run it
	After       []int  // indexes of the stages whose results it reads
	Pieces      int
	ResultBytes int64 // approximate size of the result of one piece
}

// Job is a request whose stages must complete before it can run on an engine.
type Job struct {
	ID               string // unique among all jobs
	RequestID        string // the caller's ID, which is sent to stage upstreams; not unique
	Stages           []Stage
	PieceKey         string // input of the stages that depend on no other
	Rank             int    // priority; 0 is the most urgent
	Route            string // of its caller; empty if it is not known
	Team             string // of its caller; empty if it has none, or it is not known
	Retried          bool   // its caller was refused before, and came back no earlier than it was told
	Arrived          time.Time
	Target           time.Time     // when the first byte of the answer is due
	Deadline         time.Time     // when the caller gives up
	TimeToFirstToken time.Duration // expected time from the end of the stages to the first byte
	Zone             string        // availability zone in which the request is expected to read its results; empty for any
	Progress         []Progress    // by stage, if another scheduler has started the job
}

// result is the result of one piece, held by the upstream that produced it.
type result struct {
	handle   string
	producer hosts.Lifetime
	zone     string
	bytes    int64
}

// stepState is the state of a step.
type stepState string

const (
	stepBlocked stepState = "blocked" // waits for other stages
	stepReady   stepState = "ready"   // has pieces that are in no call
	stepRunning stepState = "running" // all pieces are in calls
	stepDone    stepState = "done"
)

// step is a stage of a job with its scheduling state.
type step struct {
	job           *job
	index         int
	spec          Stage
	state         stepState
	pending       []int     // pieces that are in no call
	results       []result  // by piece; zero for those without one
	missing       int       // pieces without a result
	readySince    time.Time // when it became ready
	lastCallAt    time.Time // start of its newest call
	preferredZone string    // availability zone; empty for any
	failures      int
}

// job is a Job with its scheduling state.
type job struct {
	Job
	steps          []*step
	submitted      time.Time
	late           bool // can no longer meet its target
	claimRank      int  // rank with which it competes; 0 while it uses a floor
	started        bool // at least one piece was in a call
	granted        bool // may run on an engine, as all its stages are done
	restarts       int  // times that it started over, as results were lost
	recalled       bool // to be handed over to another scheduler
	hasNewProgress bool // not reported yet
}

// newJob returns a job of which nothing has run; Progress is not applied yet.
func newJob(spec Job, now time.Time) *job {
	j := &job{Job: spec, submitted: now}
	for i, s := range spec.Stages {
		st := &step{job: j, index: i, spec: s, state: stepBlocked, readySince: now}
		st.reset()
		j.steps = append(j.steps, st)
	}
	return j
}

// reset discards the results of the step and makes all its pieces pending again.
func (s *step) reset() {
	s.results = make([]result, s.spec.Pieces)
	s.pending = s.pending[:0]
	for i := range s.spec.Pieces {
		s.pending = append(s.pending, i)
	}
	s.missing = s.spec.Pieces
	s.state = stepBlocked
}

// unblock makes the blocked steps ready whose inputs are complete, and returns them. Steps without pieces are done at
// once.
func (j *job) unblock(now time.Time) []*step {
	var ready []*step
	for changed := true; changed; {
		changed = false
		for _, s := range j.steps {
			if s.state != stepBlocked || !j.inputsDone(s) {
				continue
			}
			s.readySince = now
			if s.spec.Pieces == 0 {
				s.state = stepDone
				changed = true
				continue
			}
			s.state = stepReady
			s.preferredZone = j.choosePreferredZone(s)
			ready = append(ready, s)
		}
	}
	return ready
}

// markDone records that a piece has its result.
func (s *step) markDone(piece int) {
	s.missing--
	s.pending = slices.DeleteFunc(s.pending, func(p int) bool { return p == piece })
}

// inputsDone reports whether all stages whose results a step reads are done.
func (j *job) inputsDone(s *step) bool {
	for _, a := range s.spec.After {
		if j.steps[a].state != stepDone {
			return false
		}
	}
	return true
}

// choosePreferredZone returns the zone that holds most of the step's input. For a first stage it is the zone in which
// the request reads the results. It is empty if moving them between zones would cost little.
func (j *job) choosePreferredZone(s *step) string {
	if len(s.spec.After) == 0 {
		if j.hasLargeOutput(s.index) {
			return j.Zone
		}
		return ""
	}
	byZone := map[string]int64{}
	for _, a := range s.spec.After {
		for _, r := range j.steps[a].results {
			byZone[r.zone] += r.bytes * int64(s.spec.Pieces)
		}
	}
	best, most := "", int64(minZoneBytes)
	for zone, bytes := range byZone {
		if bytes > most || (bytes == most && zone < best) {
			best, most = zone, bytes
		}
	}
	return best
}

// stalledFor returns the time since a step last became ready, or 0 while a step is running.
func (j *job) stalledFor(now time.Time) time.Duration {
	var newest time.Time
	for _, s := range j.steps {
		switch {
		case s.state == stepRunning:
			return 0
		case s.state == stepReady && s.readySince.After(newest):
			newest = s.readySince
		}
	}
	if newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

// done reports whether all stages are done.
func (j *job) done() bool {
	for _, s := range j.steps {
		if s.state != stepDone {
			return false
		}
	}
	return true
}

// inputs returns the handles that a step reads.
func (j *job) inputs(s *step) []string {
	var out []string
	for _, a := range s.spec.After {
		for _, r := range j.steps[a].results {
			out = append(out, r.handle)
		}
	}
	return out
}

// ReadsLargeResults reports whether the request reads large results of a first stage, so that their zone matters.
func (j Job) ReadsLargeResults() bool {
	for i, s := range j.Stages {
		if len(s.After) == 0 && j.hasLargeOutput(i) {
			return true
		}
	}
	return false
}

// NeedsStages reports whether some stage of the job has pieces.
func (j Job) NeedsStages() bool {
	return slices.ContainsFunc(j.Stages, func(s Stage) bool { return s.Pieces > 0 })
}

// hasLargeOutput reports whether the request itself reads the results of a stage and they are too large to move between
// zones cheaply.
func (j Job) hasLargeOutput(index int) bool {
	s := j.Stages[index]
	return s.ResultBytes*int64(s.Pieces) > minZoneBytes && j.isOutput(index)
}

// isOutput reports whether no other stage reads the results of a stage.
func (j Job) isOutput(index int) bool {
	return !slices.ContainsFunc(j.Stages, func(s Stage) bool { return slices.Contains(s.After, index) })
}

// outputs returns the handles that the request itself reads, and the size of the results in bytes by zone.
func (j *job) outputs() (handles []string, byZone map[string]int64) {
	byZone = map[string]int64{}
	for i, s := range j.steps {
		if !j.isOutput(i) {
			continue
		}
		for _, r := range s.results {
			handles = append(handles, r.handle)
			byZone[r.zone] += r.bytes
		}
	}
	return handles, byZone
}

// item returns the call item for one piece.
func (s *step) item(piece int, now time.Time) call.Item {
	it := call.Item{RequestID: s.job.RequestID, Stage: s.index, Piece: piece, Remaining: s.job.Deadline.Sub(now)}
	if len(s.spec.After) == 0 {
		it.Key = s.job.PieceKey
	} else {
		it.Inputs = s.job.inputs(s)
	}
	return it
}

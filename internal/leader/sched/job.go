package sched

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
)

// Stage is one stage of a job.
type Stage struct {
	Pool        string
	After       []int
	Pieces      int
	ResultBytes int64
}

// Job is a request that needs stages before it can run.
type Job struct {
	ID        string // unique among all jobs
	Request   string // the caller's ID of the request, as stage upstreams get it; other requests may have the same
	Stages    []Stage
	PieceKey  string
	Rank      int // priority; 0 is the most urgent
	Arrived   time.Time
	Target    time.Time     // when the first byte of the answer is due
	Deadline  time.Time     // when the caller gives up
	FinalStep time.Duration // expected from the end of the stages to the first byte
	Zone      string        // availability zone in which the request is expected to read its results; empty if any
	Progress  []Progress    // by stage, of a job that another board has begun
}

// result is one piece that an upstream holds.
type result struct {
	handle string
	maker  string
	zone   string
	bytes  int64
}

// stepState says where a stage of a job is.
type stepState string

const (
	stepBlocked stepState = "blocked" // waits for other stages
	stepReady   stepState = "ready"   // has pieces that no call holds
	stepRunning stepState = "running" // all pieces are in calls
	stepDone    stepState = "done"
)

// step is a stage of a job on its way.
type step struct {
	job      *job
	index    int
	spec     Stage
	state    stepState
	pending  []int // pieces that no call holds
	results  []result
	missing  int       // pieces without a result
	since    time.Time // ready
	begun    time.Time // the newest of its calls
	home     string    // availability zone where it should run, if that matters
	failures int
}

// job is a Job on its way.
type job struct {
	Job
	steps     []*step
	submitted time.Time
	late      bool // can no longer meet its target
	started   bool // a call holds or held one of its pieces
	granted   bool
	restarts  int
	recalled  bool // goes to another board
	advanced  bool // has results that were not told yet
}

func newJob(spec Job, now time.Time) *job {
	j := &job{Job: spec, submitted: now}
	for i, s := range spec.Stages {
		st := &step{job: j, index: i, spec: s, state: stepBlocked, since: now}
		st.reset()
		j.steps = append(j.steps, st)
	}
	return j
}

// reset makes all pieces of the step pending again.
func (s *step) reset() {
	s.results = make([]result, s.spec.Pieces)
	s.pending = s.pending[:0]
	for i := range s.spec.Pieces {
		s.pending = append(s.pending, i)
	}
	s.missing = s.spec.Pieces
	s.state = stepBlocked
}

// unblock makes steps ready whose inputs are complete, and returns those.
func (j *job) unblock(now time.Time) []*step {
	var ready []*step
	for again := true; again; {
		again = false
		for _, s := range j.steps {
			if s.state != stepBlocked || !j.inputsDone(s) {
				continue
			}
			s.since = now
			if s.spec.Pieces == 0 {
				s.state = stepDone
				again = true
				continue
			}
			s.state = stepReady
			s.home = j.homeOf(s)
			ready = append(ready, s)
		}
	}
	return ready
}

// take notes that a piece has its result.
func (s *step) take(piece int) {
	s.missing--
	s.pending = slices.DeleteFunc(s.pending, func(p int) bool { return p == piece })
}

func (j *job) inputsDone(s *step) bool {
	for _, a := range s.spec.After {
		if j.steps[a].state != stepDone {
			return false
		}
	}
	return true
}

// homeOf returns the zone that holds most of the step's input, or that the request reads its results in, if moving them
// between zones would matter.
func (j *job) homeOf(s *step) string {
	if len(s.spec.After) == 0 {
		if j.readsLarge(s.index) {
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
	best, most := "", int64(minHomeBytes)
	for zone, bytes := range byZone {
		if bytes > most || (bytes == most && zone < best) {
			best, most = zone, bytes
		}
	}
	return best
}

// waitsSince is how long the job has not moved on: none of its steps runs or has become ready.
func (j *job) waitsSince(now time.Time) time.Duration {
	var newest time.Time
	for _, s := range j.steps {
		switch {
		case s.state == stepRunning:
			return 0
		case s.state == stepReady && s.since.After(newest):
			newest = s.since
		}
	}
	if newest.IsZero() {
		return 0
	}
	return now.Sub(newest)
}

func (j *job) done() bool {
	for _, s := range j.steps {
		if s.state != stepDone {
			return false
		}
	}
	return true
}

// inputs are the handles that a step reads.
func (j *job) inputs(s *step) []string {
	var out []string
	for _, a := range s.spec.After {
		for _, r := range j.steps[a].results {
			out = append(out, r.handle)
		}
	}
	return out
}

// ReadsLargeResults says whether the zone matters in which the request reads the results of a first stage.
func (j Job) ReadsLargeResults() bool {
	for i, s := range j.Stages {
		if len(s.After) == 0 && j.readsLarge(i) {
			return true
		}
	}
	return false
}

// readsLarge says whether the request itself reads the results of a stage, and moving them between zones would matter.
func (j Job) readsLarge(index int) bool {
	s := j.Stages[index]
	return s.ResultBytes*int64(s.Pieces) > minHomeBytes && j.last(index)
}

// last says whether no other stage reads the results of a stage.
func (j Job) last(index int) bool {
	return !slices.ContainsFunc(j.Stages, func(s Stage) bool { return slices.Contains(s.After, index) })
}

// outputs are the handles that the request itself reads, and their bytes by zone.
func (j *job) outputs() (handles []string, byZone map[string]int64) {
	byZone = map[string]int64{}
	for i, s := range j.steps {
		if !j.last(i) {
			continue
		}
		for _, r := range s.results {
			handles = append(handles, r.handle)
			byZone[r.zone] += r.bytes
		}
	}
	return handles, byZone
}

// item is one piece as a call carries it.
func (s *step) item(piece int, now time.Time) call.Item {
	it := call.Item{RequestID: s.job.Request, Stage: s.index, Piece: piece, Remaining: s.job.Deadline.Sub(now)}
	if len(s.spec.After) == 0 {
		it.Key = s.job.PieceKey
	} else {
		it.Inputs = s.job.inputs(s)
	}
	return it
}

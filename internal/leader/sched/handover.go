package sched

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

// HeldResult is the result of a piece that an upstream holds. It is empty for a piece without a result.
type HeldResult struct {
	Handle    string
	Producer  hosts.Lifetime // of the upstream that produced it, with which the result ends
	ExpiresIn time.Duration  // until the upstream drops it
}

// Progress describes what another scheduler has completed of a stage.
type Progress struct {
	Done    bool
	Results []HeldResult // by piece; nil if none is held, as once all stages that read them are done
}

// Handover is a job that another scheduler takes over. Its results stay on the upstreams that produced them.
type Handover struct {
	Job    string
	Stages []Progress
}

// Checkpoint reports the progress of a job that stays with this scheduler.
type Checkpoint struct {
	Job    string
	Stages []Progress
}

// AgeProgress returns progress that was reported some time ago with the remaining lifetimes of its results shortened by
// age, or nil if a result has expired since.
func AgeProgress(stages []Progress, age time.Duration) []Progress {
	out := make([]Progress, len(stages))
	for i, s := range stages {
		out[i].Done = s.Done
		for _, h := range s.Results {
			if h.Handle != "" {
				if h.ExpiresIn -= age; h.ExpiresIn <= 0 {
					return nil
				}
			}
			out[i].Results = append(out[i].Results, h)
		}
	}
	return out
}

// Recall stops scheduling a job and hands it over once none of its pieces is in a call. It has no effect on a granted
// job.
func (sc *Scheduler) Recall(id string) {
	j := sc.jobs[id]
	if j == nil || j.granted {
		return
	}
	j.recalled = true
	for _, s := range j.steps {
		sc.unqueue(s)
	}
}

// Ungrant takes back the grant of a job whose request was not sent, so that the job can be recalled.
func (sc *Scheduler) Ungrant(id string) {
	if j := sc.jobs[id]; j != nil {
		j.granted = false
	}
}

// handOverRecalled hands over the recalled jobs that have no piece in a call.
func (sc *Scheduler) handOverRecalled(now time.Time) {
	for _, j := range sc.order {
		if sc.jobs[j.ID] != j || !j.recalled || j.granted || j.piecesInCalls() > 0 {
			continue
		}
		sc.output.Handovers = append(sc.output.Handovers, Handover{Job: j.ID, Stages: sc.jobProgress(j, now)})
		sc.forgetResults(j)
		delete(sc.jobs, j.ID)
	}
}

// piecesInCalls returns the number of pieces that are in calls.
func (j *job) piecesInCalls() int {
	n := 0
	for _, s := range j.steps {
		n += s.missing - len(s.pending)
	}
	return n
}

// reportCheckpoints reports the jobs that have new results. If this scheduler is lost, another one resumes them from
// there.
func (sc *Scheduler) reportCheckpoints(now time.Time) {
	for _, j := range sc.order {
		if sc.jobs[j.ID] != j || !j.hasNewProgress {
			continue
		}
		j.hasNewProgress = false
		if j.granted || j.recalled {
			continue
		}
		sc.output.Checkpoints = append(sc.output.Checkpoints, Checkpoint{Job: j.ID, Stages: sc.jobProgress(j, now)})
	}
}

// jobProgress returns the progress of a job by stage.
func (sc *Scheduler) jobProgress(j *job, now time.Time) []Progress {
	out := make([]Progress, len(j.steps))
	for i, s := range j.steps {
		out[i] = sc.stepProgress(s, now)
	}
	return out
}

// stepProgress returns the progress of a step.
func (sc *Scheduler) stepProgress(s *step, now time.Time) Progress {
	p := Progress{Done: s.state == stepDone}
	found := false
	results := make([]HeldResult, len(s.results))
	for i, r := range s.results {
		if h, known := sc.findResult(r); known {
			results[i] = HeldResult{Handle: r.handle, Producer: r.producer, ExpiresIn: h.expires.Sub(now)}
			found = true
		}
	}
	if found {
		p.Results = results
	}
	return p
}

// forgetResults stops tracking a job's results without releasing them on their upstreams.
func (sc *Scheduler) forgetResults(j *job) {
	for _, s := range j.steps {
		for _, r := range s.results {
			if w := sc.worker(r.producer); w != nil {
				w.removeResult(r.handle)
			}
		}
	}
}

// resume takes over the progress that another scheduler made with a job. Results whose producers are not known here are
// lost.
func (sc *Scheduler) resume(j *job, now time.Time) {
	if !j.progressFits() {
		return
	}
	for i, p := range j.Progress {
		s := j.steps[i]
		for piece, h := range p.Results {
			w := sc.worker(h.Producer)
			if h.Handle == "" || w == nil {
				continue
			}
			w.addResult(h.Handle, j, s.spec.ResultBytes, now.Add(h.ExpiresIn))
			s.results[piece] = result{handle: h.Handle, producer: h.Producer, zone: w.up.Zone, bytes: s.spec.ResultBytes}
		}
		if p.Done {
			s.state, s.missing, s.pending = stepDone, 0, nil
			j.started = true
		}
	}
	sc.reopenLost(j)
}

// progressFits reports whether the job's progress is that of its stages.
func (j *job) progressFits() bool {
	if len(j.Progress) != len(j.steps) {
		return false
	}
	for i, p := range j.Progress {
		if len(p.Results) > j.steps[i].spec.Pieces {
			return false
		}
	}
	return true
}

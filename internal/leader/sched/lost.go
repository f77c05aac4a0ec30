package sched

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

// worker returns the worker of a lifetime, or nil if its upstream is unknown or has restarted since.
func (sc *Scheduler) worker(l hosts.Lifetime) *worker {
	if w := sc.workersByID[l.ID]; w != nil && w.up.Lifetime() == l {
		return w
	}
	return nil
}

// findResult returns the entry of a result at its producer, and false if the producer has ended or the result has
// expired.
func (sc *Scheduler) findResult(r result) (held, bool) {
	w := sc.worker(r.producer)
	if r.handle == "" || w == nil {
		return held{}, false
	}
	h, known := w.held[r.handle]
	return h, known
}

// HoldsOutputs reports whether all results that the request of a job reads are still held; unknown jobs have none.
func (sc *Scheduler) HoldsOutputs(id string) bool {
	j := sc.jobs[id]
	if j == nil {
		return true
	}
	for i, s := range j.steps {
		if j.isOutput(i) && slices.ContainsFunc(s.results, sc.isLost) {
			return false
		}
	}
	return true
}

func (sc *Scheduler) isLost(r result) bool {
	_, known := sc.findResult(r)
	return !known
}

// holdsInputs reports whether all results that a step reads are still held.
func (sc *Scheduler) holdsInputs(s *step) bool {
	return !slices.ContainsFunc(s.spec.After, func(a int) bool {
		return slices.ContainsFunc(s.job.steps[a].results, sc.isLost)
	})
}

// reopenAffected reopens the jobs that have lost results since the last call. A granted job is left to its owner, as its
// request may have read them.
func (sc *Scheduler) reopenAffected(now time.Time) {
	if len(sc.affected) == 0 {
		return
	}
	for _, j := range sc.order {
		if sc.affected[j] && sc.jobs[j.ID] == j && !j.granted {
			sc.reopenLost(j)
			sc.enqueue(j.unblock(now))
			j.hasNewProgress = true
		}
	}
	clear(sc.affected)
}

// reopenLost makes the pieces of a job pending again whose results are lost but still to be read, and blocks the steps
// that read them. Pieces in calls are not pending: their upstreams have read the inputs, or will say that they are gone.
func (sc *Scheduler) reopenLost(j *job) {
	for i, s := range slices.Backward(j.steps) { // steps come after those whose results they read
		if s.state != stepDone || j.isRead(i) {
			sc.dropLost(s)
		}
	}
	for _, s := range j.steps {
		if (s.state == stepReady || s.state == stepRunning) && len(s.pending) > 0 && !j.inputsDone(s) {
			sc.unqueue(s)
			s.state = stepBlocked
		}
	}
}

// isRead reports whether the results of a stage are still to be read, by pending pieces of another stage or by the
// request.
func (j *job) isRead(index int) bool {
	return j.isOutput(index) || slices.ContainsFunc(j.steps, func(s *step) bool {
		return len(s.pending) > 0 && slices.Contains(s.spec.After, index)
	})
}

// dropLost forgets the lost results of a step and makes their pieces pending, unless they are in a call. A done step
// that lacks results is blocked.
func (sc *Scheduler) dropLost(s *step) {
	wasPending, called := s.pending, sc.calledPieces(s)
	s.missing, s.pending = 0, nil
	for piece, r := range s.results {
		if !sc.isLost(r) {
			continue
		}
		s.results[piece] = result{}
		s.missing++
		if slices.Contains(wasPending, piece) || !called[piece] {
			s.pending = append(s.pending, piece)
		}
	}
	switch {
	case s.missing == 0 && s.spec.Pieces > 0:
		sc.unqueue(s)
		s.state = stepDone
	case s.missing > 0 && s.state == stepDone:
		s.state = stepBlocked
	case s.state == stepRunning && len(s.pending) > 0:
		s.state = stepReady
		sc.enqueue([]*step{s})
	}
}

// calledPieces returns the pieces of a step that are in calls.
func (sc *Scheduler) calledPieces(s *step) map[int]bool {
	pieces := map[int]bool{}
	for _, r := range sc.calls {
		for _, p := range r.parts {
			if p.step == s && !p.detached {
				for _, piece := range p.pieces {
					pieces[piece] = true
				}
			}
		}
	}
	return pieces
}

// detach makes the outcomes of the calls that hold pieces of a step not count.
func (sc *Scheduler) detach(s *step) {
	for _, r := range sc.calls {
		for i := range r.parts {
			if r.parts[i].step == s {
				r.parts[i].detached = true
			}
		}
	}
}

package sched

import "time"

// inputReadTime is the time from the start of a call until its upstream has fetched the inputs of the pieces. Fetches
// begin when the call does and take some tens of ms.
const inputReadTime = 100 * time.Millisecond

// releaseRead releases results that the only step that reads them has fetched, before the calls of that step end, if
// their producer has no memory left for another full call. Under a backlog results would otherwise occupy memory for the
// whole of those calls, and the producers would run calls that are not full. If such a call fails, the results are
// produced again.
func (sc *Scheduler) releaseRead(now time.Time) {
	for _, id := range sortedKeys(sc.calls) { // in order, as a call may release the inputs of later ones
		r := sc.calls[id]
		if now.Sub(r.startedAt) < inputReadTime {
			continue
		}
		for _, p := range r.parts {
			if s := p.step; !p.detached && s.state == stepRunning && now.Sub(s.lastCallAt) >= inputReadTime {
				sc.releaseInputs(s)
			}
		}
	}
}

// releaseInputs releases the results that only s reads and whose producers are short of memory.
func (sc *Scheduler) releaseInputs(s *step) {
	for _, a := range s.spec.After {
		read := s.job.steps[a]
		if read.state != stepDone || s.job.readers(a) > 1 {
			continue
		}
		for i, r := range read.results {
			if w := sc.worker(r.producer); r.handle != "" && w != nil && sc.isShortOfMemory(w, read.spec) {
				sc.releaseResult(w, r.handle)
				read.results[i] = result{}
				s.job.hasNewProgress = true
			}
		}
	}
}

// isShortOfMemory reports whether pieces wait for a pool and one of its upstreams can't hold the results of another full
// call with pieces of a stage.
func (sc *Scheduler) isShortOfMemory(w *worker, stage Stage) bool {
	p := sc.pools[stage.Pool]
	return len(p.ready) > 0 && p.freeBytes(w) < int64(p.spec.Size)*stage.ResultBytes
}

// readers returns the number of stages that read the results of a stage.
func (j Job) readers(index int) int {
	n := 0
	for _, s := range j.Stages {
		for _, a := range s.After {
			if a == index {
				n++
			}
		}
	}
	return n
}

package sched

import "time"

// Held is a result of a piece; it is empty for a piece that has none.
type Held struct {
	Handle string
	Maker  string        // ID of the upstream
	Left   time.Duration // until the maker drops it
}

// Progress is what another board has done of a stage.
type Progress struct {
	Done    bool
	Results []Held // by piece; none when the stages that read them are done, too
}

// Handover is a job that another board is to go on with; its results stay at their makers.
type Handover struct {
	Job    string
	Stages []Progress
}

// Advance is what is done of a job that stays here.
type Advance struct {
	Job    string
	Stages []Progress
}

// WithAge returns what is left of a job's progress that was told some time ago: nothing when a result has expired since.
func WithAge(stages []Progress, age time.Duration) []Progress {
	out := make([]Progress, len(stages))
	for i, s := range stages {
		out[i].Done = s.Done
		for _, h := range s.Results {
			if h.Handle != "" {
				if h.Left -= age; h.Left <= 0 {
					return nil
				}
			}
			out[i].Results = append(out[i].Results, h)
		}
	}
	return out
}

// Recall hands a job over as soon as none of its pieces is in a call. A job that is granted stays.
func (b *Scheduler) Recall(id string) {
	j := b.jobs[id]
	if j == nil || j.granted {
		return
	}
	j.recalled = true
	for _, s := range j.steps {
		b.unqueue(s)
	}
}

// handOver gives the recalled jobs away that no call holds.
func (b *Scheduler) handOver(now time.Time) {
	for _, j := range b.order {
		if b.jobs[j.ID] != j || !j.recalled || j.granted || j.inCalls() > 0 {
			continue
		}
		b.out.Handovers = append(b.out.Handovers, Handover{Job: j.ID, Stages: b.progressOf(j, now)})
		b.forget(j)
		delete(b.jobs, j.ID)
	}
}

// inCalls is the number of pieces that wait for the end of a call.
func (j *job) inCalls() int {
	n := 0
	for _, s := range j.steps {
		if s.state == stepReady || s.state == stepRunning {
			n += s.missing - len(s.pending)
		}
	}
	return n
}

// tellAdvances describes the jobs that have new results, so that another board can go on with them if this one is lost.
func (b *Scheduler) tellAdvances(now time.Time) {
	for _, j := range b.order {
		if b.jobs[j.ID] != j || !j.advanced {
			continue
		}
		j.advanced = false
		if j.granted || j.recalled {
			continue
		}
		b.out.Advances = append(b.out.Advances, Advance{Job: j.ID, Stages: b.progressOf(j, now)})
	}
}

// progressOf describes what is done of a job, by stage.
func (b *Scheduler) progressOf(j *job, now time.Time) []Progress {
	out := make([]Progress, len(j.steps))
	for i, s := range j.steps {
		out[i] = b.progress(s, now)
	}
	return out
}

// progress describes what is done of a step.
func (b *Scheduler) progress(s *step, now time.Time) Progress {
	p := Progress{Done: s.state == stepDone}
	found := false
	results := make([]Held, len(s.results))
	for i, r := range s.results {
		if h, known := b.heldResult(r); known {
			results[i] = Held{Handle: r.handle, Maker: r.maker, Left: h.expires.Sub(now)}
			found = true
		}
	}
	if found {
		p.Results = results
	}
	return p
}

// forget drops a job's results here without giving them up at their makers.
func (b *Scheduler) forget(j *job) {
	for _, s := range j.steps {
		for _, r := range s.results {
			if w := b.makers[r.maker]; w != nil {
				w.unhold(r.handle)
			}
		}
	}
}

// heldResult finds a result at its maker, unless that one is gone or has dropped it.
func (b *Scheduler) heldResult(r result) (held, bool) {
	w := b.makers[r.maker]
	if r.handle == "" || w == nil {
		return held{}, false
	}
	h, known := w.held[r.handle]
	return h, known
}

// resume takes over what another board has done of a job. What is not known here runs anew.
func (b *Scheduler) resume(j *job, now time.Time) {
	if len(j.Progress) != len(j.steps) || !b.knows(j) {
		return
	}
	for i, p := range j.Progress {
		s := j.steps[i]
		for piece, h := range p.Results {
			if h.Handle == "" {
				continue
			}
			w := b.makers[h.Maker]
			w.hold(h.Handle, s.spec.ResultBytes, now.Add(h.Left))
			s.results[piece] = result{handle: h.Handle, maker: h.Maker, zone: w.up.Zone, bytes: s.spec.ResultBytes}
			s.take(piece)
		}
		if p.Done {
			s.state, s.missing, s.pending = stepDone, 0, nil
			j.started = true
		}
	}
}

// knows says whether the makers of all results that were handed over are known here.
func (b *Scheduler) knows(j *job) bool {
	for i, p := range j.Progress {
		if len(p.Results) > j.steps[i].spec.Pieces {
			return false
		}
		for _, h := range p.Results {
			if h.Handle != "" && b.makers[h.Maker] == nil {
				return false
			}
		}
	}
	return true
}

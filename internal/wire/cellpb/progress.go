package cellpb

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

// ProgressOf encodes what a board has done of a job.
func ProgressOf(stages []sched.Progress) []*Progress {
	var out []*Progress
	for _, s := range stages {
		p := &Progress{Done: s.Done}
		for _, h := range s.Results {
			p.Results = append(p.Results, &Held{Handle: h.Handle, Maker: h.Maker, LeftUs: h.Left.Microseconds()})
		}
		out = append(out, p)
	}
	return out
}

// BoardProgress decodes what a board has done of a job.
func BoardProgress(stages []*Progress) []sched.Progress {
	var out []sched.Progress
	for _, s := range stages {
		p := sched.Progress{Done: s.Done}
		for _, h := range s.Results {
			p.Results = append(p.Results, sched.Held{
				Handle: h.Handle, Maker: h.Maker, Left: time.Duration(h.LeftUs) * time.Microsecond,
			})
		}
		out = append(out, p)
	}
	return out
}

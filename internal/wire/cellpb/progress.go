package cellpb

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
)

// ProgressOf encodes the progress of a job's stages.
func ProgressOf(stages []sched.Progress) []*Progress {
	var out []*Progress
	for _, s := range stages {
		p := &Progress{Done: s.Done}
		for _, h := range s.Results {
			p.Results = append(p.Results, &Held{
				Handle: h.Handle, Maker: h.Producer.ID, Born: h.Producer.StartedMs, LeftUs: h.ExpiresIn.Microseconds(),
			})
		}
		out = append(out, p)
	}
	return out
}

// BoardProgress decodes the progress of a job's stages.
func BoardProgress(stages []*Progress) []sched.Progress {
	var out []sched.Progress
	for _, s := range stages {
		p := sched.Progress{Done: s.Done}
		for _, h := range s.Results {
			p.Results = append(p.Results, sched.HeldResult{
				Handle: h.Handle, Producer: hosts.Lifetime{ID: h.Maker, StartedMs: h.Born},
				ExpiresIn: time.Duration(h.LeftUs) * time.Microsecond,
			})
		}
		out = append(out, p)
	}
	return out
}

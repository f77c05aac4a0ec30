package cellpb

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/cell/board"
)

// ProgressOf encodes what a board has done of a job.
func ProgressOf(stages []board.Progress) []*Progress {
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
func BoardProgress(stages []*Progress) []board.Progress {
	var out []board.Progress
	for _, s := range stages {
		p := board.Progress{Done: s.Done}
		for _, h := range s.Results {
			p.Results = append(p.Results, board.Held{
				Handle: h.Handle, Maker: h.Maker, Left: time.Duration(h.LeftUs) * time.Microsecond,
			})
		}
		out = append(out, p)
	}
	return out
}

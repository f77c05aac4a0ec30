package task

import (
	"encoding/json"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
)

// Request is a request with the parts of the one configuration revision that it was admitted under.
type Request struct {
	ID          string // unique to this admission
	Label       string // the caller's own request ID
	Team        team.Spec
	Pipeline    pipe.Spec
	Stages      []stage.Spec
	Pools       map[string]pool.Spec
	Preset      preset.Spec
	Revision    int64
	Input       json.RawMessage
	MaxTokens   uint32 // 0 means the limit of the stage
	Key         string // key of the action; empty without one
	Fingerprint string
	Alone       bool // run with no other call in flight on the upstream
	Deadline    time.Time
}

// Class returns the size class of the request's pipeline; Short by default.
func (r Request) Class() pipe.SizeClass {
	if r.Pipeline.SizeClass == "" {
		return pipe.Short
	}
	return r.Pipeline.SizeClass
}

// Weight returns the request's fair-queueing weight: the team's weight times the pipeline's.
func (r Request) Weight() float64 {
	w := defaultWeight(r.Team.Weight)
	return w * defaultWeight(r.Preset.Pipelines[r.Pipeline.Name].Weight)
}

// HasAction reports whether the request has a stage that must run at most once.
func (r Request) HasAction() bool {
	for _, s := range r.Stages {
		if s.IsAction() {
			return true
		}
	}
	return false
}

// defaultWeight replaces an unset weight by 1.
func defaultWeight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

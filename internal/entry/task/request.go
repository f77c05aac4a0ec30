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

// Request is a request under the one configuration revision it was admitted with.
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
	MaxTokens   uint32 // 0 means what the stage allows
	Key         string // key of the action; empty without one
	Fingerprint string
	Alone       bool // run with nothing else in flight on the upstream
	Deadline    time.Time
}

// Class is the size class that keeps the request apart from others.
func (r Request) Class() pipe.SizeClass {
	if r.Pipeline.SizeClass == "" {
		return pipe.Short
	}
	return r.Pipeline.SizeClass
}

// Weight is the team's fair share weight under overload.
func (r Request) Weight() float64 {
	w := orOne(r.Team.Weight)
	return w * orOne(r.Preset.Pipelines[r.Pipeline.Name].Weight)
}

// HasAction says whether a stage must run at most once.
func (r Request) HasAction() bool {
	for _, s := range r.Stages {
		if s.IsAction() {
			return true
		}
	}
	return false
}

func orOne(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

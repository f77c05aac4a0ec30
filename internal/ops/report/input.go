package report

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/state/fold"
)

// Input is all that one entry knows at the time of a handover.
type Input struct {
	Now     time.Time
	Process string // name of the entry
	State   *fold.State
	// Fresh is the start of the newest read of the log that State covers; zero if unknown.
	Fresh time.Time
	// NotReady says why the entry is not ready; empty if it is.
	NotReady    string
	Versions    []Version
	Unsettled   []Publish
	Upstreams   []Upstream
	Quarantined []Mark
	Actions     []Action
}

// Version is what a process last said of its configuration.
type Version struct {
	Process string    `json:"process"`
	Role    string    `json:"role"`
	Zone    string    `json:"zone"`
	Offset  int64     `json:"offset"`
	Digest  string    `json:"digest"` // or its start
	Seen    time.Time `json:"seen"`
}

// Publish is one whose answer was lost.
type Publish struct {
	Nonce  string    `json:"nonce"`
	Author string    `json:"author"`
	Since  time.Time `json:"since"`
}

// UpstreamState says why an upstream gets no or less work.
type UpstreamState string

// The states that a handover names.
const (
	Draining UpstreamState = "draining"
	Ejected  UpstreamState = "ejected"
	Suspect  UpstreamState = "suspect"
)

// Upstream is one that gets no or less work.
type Upstream struct {
	Name   string        `json:"name"`
	Pool   string        `json:"pool"`
	Zone   string        `json:"zone"`
	State  UpstreamState `json:"state"`
	Since  time.Time     `json:"since"`
	Reason string        `json:"reason,omitempty"`
}

// Mark is the fingerprint of a request that is quarantined.
type Mark struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     []string  `json:"crashes"`
	Until       time.Time `json:"until"`
}

// Action is one that may have run.
type Action struct {
	Key     string    `json:"key"`
	Service string    `json:"service"`
	Since   time.Time `json:"since"`
	Reason  string    `json:"reason,omitempty"`
}

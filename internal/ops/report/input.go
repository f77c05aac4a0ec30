package report

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/state/fold"
)

// Input holds the state of one entry at the time of a handover.
type Input struct {
	Now     time.Time
	Process string // name of the entry
	State   *fold.State
	// LogReadAt is when the latest log read covered by State began; zero if unknown.
	LogReadAt time.Time
	// NotReady is the reason why the entry is not ready; empty if it is ready.
	NotReady    string
	Versions    []Version
	Unsettled   []UnsettledPublish
	Upstreams   []Upstream
	Quarantined []Mark
	Actions     []Action
}

// Version is the configuration version that a process last reported.
type Version struct {
	Process string    `json:"process"`
	Role    string    `json:"role"`
	Zone    string    `json:"zone"`
	Offset  int64     `json:"offset"`
	Digest  string    `json:"digest"` // hex, may be only a prefix
	Seen    time.Time `json:"seen"`
}

// UnsettledPublish is a publish of unknown outcome: its answer was lost.
type UnsettledPublish struct {
	Nonce  string    `json:"nonce"`
	Author string    `json:"author"`
	Since  time.Time `json:"since"`
}

// UpstreamState is the reason why an upstream receives less work than usual or none.
type UpstreamState string

// The states of upstreams that a report lists.
const (
	Draining UpstreamState = "draining"
	Ejected  UpstreamState = "ejected"
	Suspect  UpstreamState = "suspect"
)

// Upstream is an upstream that receives less work than usual or none.
type Upstream struct {
	Name   string        `json:"name"`
	Pool   string        `json:"pool"`
	Zone   string        `json:"zone"`
	State  UpstreamState `json:"state"`
	Since  time.Time     `json:"since"`
	Reason string        `json:"reason,omitempty"`
}

// Mark identifies quarantined requests by their fingerprint.
type Mark struct {
	Fingerprint string    `json:"fingerprint"`
	Crashes     []string  `json:"crashes"`
	Until       time.Time `json:"until"`
}

// Action is an action of unknown outcome: it may have run.
type Action struct {
	Key     string    `json:"key"`
	Service string    `json:"service"`
	Since   time.Time `json:"since"`
	Reason  string    `json:"reason,omitempty"`
}

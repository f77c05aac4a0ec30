package admin

import (
	"encoding/json"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// The paths of the operators' calls. All need an operator's bearer token.
const (
	PathPublish    = "/v1/ops/publish"       // POST PublishRequest, answers accept.Result
	PathPreset     = "/v1/ops/preset"        // POST PresetRequest, answers accept.Result
	PathSettle     = "/v1/ops/settle"        // POST SettleRequest, answers accept.Result
	PathConfig     = "/v1/ops/config"        // GET, answers Config
	PathStatus     = "/v1/ops/status"        // GET, answers Status
	PathHandover   = "/v1/ops/handover"      // GET, answers report.Report
	PathDrain      = "/v1/ops/drain"         // POST DrainRequest, answers DrainReply
	PathOutcome    = "/v1/ops/outcomes/:key" // GET ?team=&service=, answers Outcome; POST SettleAction, answers Outcome
	PathQuarantine = "/v1/ops/quarantine"    // GET, answers Quarantine
	PathLift       = "/v1/ops/lift"          // POST LiftRequest, answers Quarantine
)

// PublishRequest publishes a change of the configuration, all of it or nothing.
type PublishRequest struct {
	Author string        `json:"author"`
	Nonce  string        `json:"nonce,omitempty"` // made by the entry when empty
	Change config.Change `json:"change"`
}

// PresetRequest switches the preset in force.
type PresetRequest struct {
	Author string `json:"author"`
	Name   string `json:"name"`
	// Base is the revision of the switch that the author saw; absent, the entry fills in its own.
	Base *int64 `json:"base,omitempty"`
}

// SettleRequest finds out what became of a publish whose answer was lost.
type SettleRequest struct {
	Nonce string `json:"nonce"`
}

// Config is the configuration in force.
type Config struct {
	Revision int64  `json:"revision"`
	Offset   int64  `json:"offset"`
	Digest   string `json:"digest"`
	InForce  string `json:"inForce"`
	Snapshot []byte `json:"snapshot"` // for snap.Decode
}

// Status is one entry's view of the system now.
type Status struct {
	Entry    string       `json:"entry"`
	Zone     string       `json:"zone"`
	Ready    bool         `json:"ready"`
	NotReady string       `json:"notReady,omitempty"` // why
	Draining bool         `json:"draining"`
	InFlight int          `json:"inFlight"`
	Preset   string       `json:"preset"`
	Revision int64        `json:"revision"`
	Offset   int64        `json:"offset"`
	Digest   string       `json:"digest"`
	LogAgeMs int64        `json:"logAgeMs"` // of the newest read of the log that the state covers, -1 if unknown
	Pools    []PoolStatus `json:"pools"`
	Marks    int          `json:"marks"` // fingerprints under suspicion or in quarantine
}

// PoolStatus is one pool with its upstreams.
type PoolStatus struct {
	Pool      string           `json:"pool"`
	Upstreams []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is one upstream as the entry knows it.
type UpstreamStatus struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	State   string `json:"state"` // live, suspect, leaving or gone
	Reason  string `json:"reason"`
	Linked  bool   `json:"linked"` // a connection to its side is up
	Running uint32 `json:"running"`
	Queued  uint32 `json:"queued"`
	Limit   uint32 `json:"limit"`
}

// DrainRequest starts a graceful shutdown of one host, by name.
type DrainRequest struct {
	Host   string `json:"host"`
	Author string `json:"author"`
	Reason string `json:"reason"`
}

// DrainReply says how many calls were in flight.
type DrainReply struct {
	Host     string `json:"host"`
	InFlight uint32 `json:"inFlight"`
}

// SettleAction records an operator's decision about an action whose outcome is unknown.
type SettleAction struct {
	Team    string        `json:"team"`
	Service string        `json:"service"`
	Verdict fault.Verdict `json:"verdict"` // ran or notRun
	Author  string        `json:"author"`
	Reason  string        `json:"reason"`
}

// Outcome is what the log records of an action.
type Outcome struct {
	Key     string          `json:"key"`
	Team    string          `json:"team,omitempty"`
	Service string          `json:"service,omitempty"`
	State   string          `json:"state"`
	Verdict fault.Verdict   `json:"verdict"`
	Answer  json.RawMessage `json:"answer,omitempty"`
	Author  string          `json:"author,omitempty"` // of an operator's decision
	Reason  string          `json:"reason,omitempty"`
}

// LiftRequest lifts the quarantine of a fingerprint.
type LiftRequest struct {
	Fingerprint string `json:"fingerprint"`
	Author      string `json:"author"`
	Reason      string `json:"reason"`
}

// Quarantine lists the fingerprints under suspicion or in quarantine.
type Quarantine struct {
	Marks []Mark `json:"marks"`
}

// Mark is one fingerprint.
type Mark struct {
	Fingerprint string    `json:"fingerprint"`
	State       string    `json:"state"` // suspect, quarantined or lifted
	Crashes     []string  `json:"crashes"`
	Expires     time.Time `json:"expires"`
}

package poison

import "time"

// State tells how a request with a fingerprint may run.
type State string

// The states of a fingerprint.
const (
	// Clear requests run like any other.
	Clear State = "clear"
	// Suspect requests run with no other call in flight on their upstream.
	Suspect State = "suspect"
	// Quarantined requests are refused.
	Quarantined State = "quarantined"
	// Lifted fingerprints were released by an operator.
	Lifted State = "lifted"
)

// Crash is one crash of an upstream as seen by a process that had a call in flight there.
type Crash struct {
	ID       string // equal for all calls in flight on the upstream, different for each crash
	InFlight int    // calls in flight on the upstream; 0 means unknown
}

// FingerprintStatus is the status of one fingerprint as shown to operators.
type FingerprintStatus struct {
	Fingerprint string    `json:"fingerprint"`
	State       State     `json:"state"`
	Crashes     []string  `json:"crashes"` // IDs of its crashes (Crash.ID), oldest first
	Expires     time.Time `json:"expires"` // when its crashes or its lift stop counting
	LiftedBy    string    `json:"liftedBy,omitempty"`
}

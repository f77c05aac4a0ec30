package lease

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Kind says what a record of the plan stream does.
type Kind string

// The kinds of records.
const (
	// KindClaim asks for the planner's lease.
	KindClaim Kind = "claim"
	// KindRenew keeps the lease.
	KindRenew Kind = "renew"
	// KindPlan sets the targets of all runners.
	KindPlan Kind = "plan"
	// KindOwner makes a side the one that gives orders to its engine.
	KindOwner Kind = "seat"
	// KindReport tells what the engine of a seated side holds.
	KindReport Kind = "report"
)

// Target is the state that a runner should be in.
type Target struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// SatisfiedBy says whether an engine that holds h needs no order; what the target leaves empty may be anything.
func (t Target) SatisfiedBy(h Target) bool {
	return t.Model == h.Model &&
		(t.Version == "" || t.Version == h.Version) &&
		(t.Role == "" || t.Role == h.Role) &&
		(len(t.Adapters) == 0 || slices.Equal(t.Adapters, h.Adapters))
}

// Record is one record of the plan stream.
type Record struct {
	Kind        Kind              `json:"kind"`
	Holder      string            `json:"holder,omitempty"`      // claim, renew: name of the process
	After       int64             `json:"after"`                 // claim, renew: the claim or renewal in force when it was written, -1 for none
	Lease       int64             `json:"lease"`                 // renew, plan: offset of the claim
	Targets     map[string]Target `json:"targets,omitempty"`     // plan: by name of the upstream, whole
	Revision    int64             `json:"revision,omitempty"`    // plan: configuration revision that it was made for
	Upstream    string            `json:"upstream,omitempty"`    // seat, report
	Incarnation string            `json:"incarnation,omitempty"` // seat, report
	OwnerOffset int64             `json:"seat,omitempty"`        // report: offset of the owner record
	Holds       *Target           `json:"holds,omitempty"`       // report
}

// Encode renders a record as JSON.
func Encode(r Record) ([]byte, error) { return json.Marshal(r) }

// Decode reads a record strictly.
func Decode(data []byte) (Record, error) {
	var r Record
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return Record{}, fmt.Errorf("decode record of the plan stream: %w", err)
	}
	return r, nil
}

package lease

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Kind is the kind of a record of the plan stream.
type Kind string

// The kinds of records.
const (
	// KindClaim claims the planner's lease.
	KindClaim Kind = "claim"
	// KindRenew renews the planner's lease.
	KindRenew Kind = "renew"
	// KindPlan sets the targets of all runners.
	KindPlan Kind = "plan"
	// KindOwner makes a sidecar the owner of its engine, the only one that may send orders to it.
	KindOwner Kind = "seat"
	// KindReport reports what the engine of an owner has loaded.
	KindReport Kind = "report"
)

// Target is what a runner should have loaded, or has loaded.
type Target struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters,omitempty"`
	Version  string   `json:"version,omitempty"`
	Role     string   `json:"role,omitempty"`
}

// SatisfiedBy reports whether an engine that has loaded h needs no order; an empty field of the target other than Model
// matches any value.
func (t Target) SatisfiedBy(h Target) bool {
	return t.Model == h.Model &&
		(t.Version == "" || t.Version == h.Version) &&
		(t.Role == "" || t.Role == h.Role) &&
		(len(t.Adapters) == 0 || slices.Equal(t.Adapters, h.Adapters))
}

// Record is one record of the plan stream. The comment of a field names the kinds that use it. Claims and
// renewals form a chain, in which After names the previous claim or renewal.
type Record struct {
	Kind        Kind              `json:"kind"`
	Holder      string            `json:"holder,omitempty"`      // claim, renew: name of the process
	After       int64             `json:"after"`                 // claim, renew: offset of the previous one, -1 for none
	Lease       int64             `json:"lease"`                 // renew, plan: offset of the claim
	Targets     map[string]Target `json:"targets,omitempty"`     // plan: all targets, by name of the upstream
	Revision    int64             `json:"revision,omitempty"`    // plan: configuration revision it was computed from
	Upstream    string            `json:"upstream,omitempty"`    // owner, report: name of the upstream
	Incarnation string            `json:"incarnation,omitempty"` // owner, report: incarnation of its sidecar
	OwnerOffset int64             `json:"seat,omitempty"`        // report: offset of the owner record
	Holds       *Target           `json:"holds,omitempty"`       // report: what the engine has loaded
}

// Encode returns a record as JSON.
func Encode(r Record) ([]byte, error) { return json.Marshal(r) }

// Decode parses a record; unknown fields are an error.
func Decode(data []byte) (Record, error) {
	var r Record
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(&r); err != nil {
		return Record{}, fmt.Errorf("decode record of the plan stream: %w", err)
	}
	return r, nil
}

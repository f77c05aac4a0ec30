package fold

import (
	"fmt"
	"strings"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
)

// Code is the reason why a record was rejected.
type Code string

// The codes.
const (
	Corrupt     Code = "corrupt"     // the checksum does not match
	Truncated   Code = "cut"         // the end of the record is missing
	NewerFormat Code = "newerFormat" // written by a newer program
	Malformed   Code = "malformed"   // cannot be decoded or applied
	Conflict    Code = "conflict"    // based on a revision that is not current
	Invalid     Code = "invalid"     // would make the configuration invalid
	Duplicate   Code = "duplicate"   // the nonce has been decided before
	Stale       Code = "stale"       // the nonce is so old that a decision on it may have been evicted
	Voided      Code = "voided"      // a void record with this nonce came first
	Settled     Code = "settled"     // a void record whose nonce had already been decided
	OutOfOrder  Code = "outOfOrder"  // not the next offset; the state has not advanced
)

// Rejection describes a record that was rejected and left the configuration unchanged.
type Rejection struct {
	Offset    int64            `json:"offset"`
	Code      Code             `json:"code"`
	Nonce     string           `json:"nonce,omitempty"`
	Author    string           `json:"author,omitempty"`
	Message   string           `json:"message"`
	Problems  []config.Problem `json:"problems,omitempty"`
	Conflicts []Mismatch       `json:"conflicts,omitempty"`
}

// Mismatch describes an object whose base revision is not current.
type Mismatch struct {
	Ref     config.Ref `json:"ref"`
	Base    int64      `json:"base"`
	Current Meta       `json:"current"` // revision is config.Absent if the object does not exist
}

// String renders the rejection on one line.
func (r *Rejection) String() string {
	return fmt.Sprintf("record at offset %d rejected (%s): %s", r.Offset, r.Code, r.Message)
}

func newInvalid(problems []config.Problem) *Rejection {
	return &Rejection{Code: Invalid, Message: problems[0].String(), Problems: problems}
}

func newMalformed(format string, args ...any) *Rejection {
	return &Rejection{Code: Malformed, Message: fmt.Sprintf(format, args...)}
}

func newConflict(list []Mismatch) *Rejection {
	parts := make([]string, 0, len(list))
	for _, m := range list {
		parts = append(parts, m.String())
	}
	return &Rejection{Code: Conflict, Message: strings.Join(parts, "; "), Conflicts: list}
}

// String names the expected and the current revision.
func (m Mismatch) String() string {
	switch {
	case m.Current.Revision == config.Absent:
		return fmt.Sprintf("%s does not exist, but the change is based on revision %d", m.Ref, m.Base)
	case m.Base == config.Absent:
		return fmt.Sprintf("%s exists already, set by %s at revision %d", m.Ref, m.Current.Author, m.Current.Revision)
	}
	return fmt.Sprintf("%s is at revision %d, set by %s, but the change is based on revision %d",
		m.Ref, m.Current.Revision, m.Current.Author, m.Base)
}

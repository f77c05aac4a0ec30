package publish

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
)

// State is the outcome of a publish.
type State string

// The states.
const (
	// Accepted means that every reader accepts the change when it applies the log.
	Accepted State = "accepted"
	// Rejected means that the change was checked and rejected; it is not in force and never will be.
	Rejected State = "rejected"
	// NotAccepted means that the change was not appended or its nonce is voided; it is not in force and never will be.
	NotAccepted State = "notAccepted"
	// Unknown means that the change may be in force now or later; Settle determines which.
	Unknown State = "unknown"
)

// Result is the outcome of a publish as returned to an operator.
type Result struct {
	State    State            `json:"state"`
	Nonce    string           `json:"nonce"`
	Revision int64            `json:"revision"` // offset of the record, -1 if there is none
	Offset   int64            `json:"offset"`   // offset of the state with this digest
	Digest   string           `json:"digest"`   // of the configuration at Offset
	Message  string           `json:"message,omitempty"`
	Problems []config.Problem `json:"problems,omitempty"`
	Conflict *Conflict        `json:"lost,omitempty"`
	Replaced *Replaced        `json:"replaced,omitempty"`
	Settle   string           `json:"settle,omitempty"` // command that settles an unknown publish
}

// Replaced is the preset that was in force before a switch.
type Replaced struct {
	Name     string    `json:"name"`
	Author   string    `json:"author"`
	Since    time.Time `json:"since"`
	Revision int64     `json:"revision"`
}

// Conflict lists the objects that made a change lose against earlier ones.
type Conflict struct {
	Objects []ConflictingObject `json:"objects"`
}

// ConflictingObject is an object that another author changed first.
type ConflictingObject struct {
	Ref         config.Ref          `json:"ref"`
	Base        int64               `json:"base"`
	Current     fold.Meta           `json:"current"` // revision config.Absent if it was removed
	Differences []config.Difference `json:"differences,omitempty"`
}

// String lists the objects, their authors and the fields that differ.
func (l *Conflict) String() string {
	lines := make([]string, 0, len(l.Objects))
	for _, o := range l.Objects {
		lines = append(lines, o.String())
	}
	return strings.Join(lines, "\n")
}

// String renders the object with one line for each field that differs.
func (c ConflictingObject) String() string {
	var b strings.Builder
	switch {
	case c.Current.Revision == config.Absent:
		fmt.Fprintf(&b, "%s was removed after revision %d", c.Ref, c.Base)
	default:
		at := time.UnixMilli(c.Current.TimeMs).UTC().Format(time.RFC3339)
		fmt.Fprintf(&b, "%s: %s came first at revision %d (%s), yours is based on %d",
			c.Ref, c.Current.Author, c.Current.Revision, at, c.Base)
	}
	for _, d := range c.Differences {
		fmt.Fprintf(&b, "\n  %s: yours %s, theirs %s", d.Field, orNone(d.Yours), orNone(d.Theirs))
	}
	return b.String()
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

// Error is a publish that was not accepted or whose outcome is unknown.
type Error struct {
	Result Result
	Cause  error
}

// Error names the state, the reason and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("publish %s: %s", e.Result.State, e.Result.Message)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

func sortConflictingObjects(list []ConflictingObject) {
	slices.SortFunc(list, func(a, b ConflictingObject) int { return a.Ref.Compare(b.Ref) })
}

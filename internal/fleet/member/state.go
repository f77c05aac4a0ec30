package member

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// State tells which work may be sent to a host.
type State string

// The states of a host.
const (
	// Live hosts get new work.
	Live State = "live"
	// Suspect hosts get new work only when too few live ones are left.
	Suspect State = "suspect"
	// Leaving hosts get no new work.
	Leaving State = "leaving"
	// Gone hosts are forgotten after a while.
	Gone State = "gone"
)

// Reason names the rule that decided the state of a host.
type Reason string

// The reasons, grouped by the state that they lead to.
const (
	ReasonListed          Reason = "listed"
	ReasonSidecarLive     Reason = "sideLive"
	ReasonHeld            Reason = "absenceHeld"        // too many hosts vanished at once
	ReasonAbsentConnected Reason = "absentButConnected" // not in the list, but not yet gone or still connected
	ReasonSidecarLeaving  Reason = "sideLeaving"
	ReasonListLeaving     Reason = "listLeaving"
	ReasonAbsent          Reason = "absent"        // not in the list
	ReasonAddressReused   Reason = "addressReused" // another host is listed at its address
	ReasonConnectionDown  Reason = "linkDown"
	ReasonSilent          Reason = "silent" // no status for Options.SuspectAfter
	ReasonStarting        Reason = "starting"
	ReasonUnhealthy       Reason = "upstreamUnhealthy"
	ReasonWrongName       Reason = "answersAsAnother" // its sidecar reports another name
)

// The states that a sidecar reports in sidepb.Status.
const (
	sidecarStarting = "starting"
	sidecarLeaving  = "leaving"
)

// Upstream is one host in a view; a host of an entry has an empty Pool.
type Upstream struct {
	Name        string       `json:"name"`
	Address     string       `json:"address"`
	Zone        string       `json:"zone"`
	Region      string       `json:"region"`
	Pool        string       `json:"pool"`
	State       State        `json:"state"`
	Reason      Reason       `json:"reason"`
	Incarnation string       `json:"incarnation,omitempty"`
	Load        *sidepb.Load `json:"load,omitempty"` // from the last status, nil before the first
	LoadAt      time.Time    `json:"loadAt"`
	Models      []string     `json:"models,omitempty"`
	Connected   bool         `json:"linked,omitempty"` // a connection to it is up
}

package member

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// maxPastIncarnations is how many earlier incarnations of a sidecar are remembered so that their late statuses are
// dropped.
const maxPastIncarnations = 4

// connState is what is known of the connection to a host.
type connState string

const (
	connUnknown connState = "" // not tried, or not expected
	connUp      connState = "up"
	connDown    connState = "down"
)

// row holds what the three sources last reported of one host.
type row struct {
	host             host.Host
	absentSince      time.Time // time of the first list without the host; zero while it is listed
	held             bool      // absence is not believed, as too many hosts vanished at once
	addressReused    bool      // another host is listed at its address
	status           *sidepb.Status
	statusAt         time.Time // when the last status arrived
	pastIncarnations []string  // oldest first
	wrongName        bool      // the last status came from a sidecar of another name
	conn             connState
	connSince        time.Time // last change of conn or, if later, last status
	goneSince        time.Time // when Tick found the host gone; zero while it is not
}

// withHost returns the row after a list that contains h.
func (r row) withHost(h host.Host) row {
	addressChanged := r.host.Address != h.Address
	if addressChanged || r.addressReused {
		// Another machine has taken the name, so nothing known of the old one applies.
		return row{host: h}
	}
	if !r.goneSince.IsZero() {
		// What was known before the host was gone is outdated, but late statuses must still be dropped.
		r = row{pastIncarnations: r.pastIncarnations}
	}
	r.host = h
	r.absentSince = time.Time{}
	r.goneSince = time.Time{}
	r.held = false
	return r
}

// withStatus returns the row after a status; one of an earlier incarnation is dropped.
func (r row) withStatus(now time.Time, st *sidepb.Status) row {
	if st.GetUpstream() != "" && st.GetUpstream() != r.host.Name {
		r.wrongName = true
		return r
	}
	if slices.Contains(r.pastIncarnations, st.GetIncarnation()) {
		return r
	}
	if r.status != nil && r.status.GetIncarnation() != st.GetIncarnation() {
		pastIncarnations := append(slices.Clone(r.pastIncarnations), r.status.GetIncarnation())
		r.pastIncarnations = pastIncarnations[max(0, len(pastIncarnations)-maxPastIncarnations):]
	}
	r.wrongName = false
	if !r.revokesLeaving(st) {
		r.status = st
	}
	r.statusAt = now
	r.conn = connUp
	r.connSince = now
	return r
}

// revokesLeaving reports whether st contradicts the leaving that the same incarnation announced before.
func (r *row) revokesLeaving(st *sidepb.Status) bool {
	return r.status.GetState() == sidecarLeaving && r.status.GetIncarnation() == st.GetIncarnation() &&
		st.GetState() != sidecarLeaving
}

// withLeaving records that the sidecar is leaving, as learned from a refused call.
func (r row) withLeaving(now time.Time, incarnation string) row {
	if incarnation != "" && slices.Contains(r.pastIncarnations, incarnation) {
		return r
	}
	st := proto.CloneOf(r.status)
	if st == nil {
		st = &sidepb.Status{Upstream: r.host.Name, Incarnation: incarnation}
	}
	if incarnation != "" && st.GetIncarnation() != incarnation {
		return r
	}
	st.State = sidecarLeaving
	r.status = st
	r.statusAt = now
	return r
}

// currentStatus returns the last status of the sidecar, nil once it is older than StatusTTL and no connection is up.
func (r *row) currentStatus(now time.Time, o Options) *sidepb.Status {
	if r.conn != connUp && now.Sub(r.statusAt) >= o.StatusTTL {
		return nil
	}
	return r.status
}

// withConnection returns the row after a connection came up or was lost.
func (r row) withConnection(now time.Time, up bool) row {
	want := connDown
	if up {
		want = connUp
	}
	if r.conn != want {
		r.conn = want
		r.connSince = now
	}
	return r
}

// evaluate returns the state of the host and the reason for it. The first rule that matches decides.
func (r *row) evaluate(now time.Time, o Options) (State, Reason) {
	status := r.currentStatus(now, o)
	switch {
	case r.addressReused:
		return Gone, ReasonAddressReused
	case r.absent(now, o):
		return Gone, ReasonAbsent
	case status.GetState() == sidecarLeaving:
		return Leaving, ReasonSidecarLeaving
	case r.host.State == host.Leaving:
		return Leaving, ReasonListLeaving
	case r.wrongName:
		return Suspect, ReasonWrongName
	case r.conn == connDown:
		return Suspect, ReasonConnectionDown
	case r.conn == connUp && now.Sub(r.lastHeard()) >= o.SuspectAfter:
		return Suspect, ReasonSilent
	case status.GetState() == sidecarStarting:
		return Suspect, ReasonStarting
	case status != nil && !status.GetUpstreamHealthy():
		return Suspect, ReasonUnhealthy
	case r.held:
		return Live, ReasonHeld
	case !r.absentSince.IsZero():
		return Live, ReasonAbsentConnected
	case status != nil:
		return Live, ReasonSidecarLive
	default:
		return Live, ReasonListed
	}
}

// lastHeard returns the later of the last status and the start of the connection.
func (r *row) lastHeard() time.Time {
	if r.statusAt.After(r.connSince) {
		return r.statusAt
	}
	return r.connSince
}

// absent reports whether the host counts as gone from the list.
func (r *row) absent(now time.Time, o Options) bool {
	if r.absentSince.IsZero() || r.conn == connUp && now.Sub(r.lastHeard()) < o.SuspectAfter {
		return false
	}
	after := o.GoneAfter
	if r.held {
		after = o.HoldFor
	}
	return now.Sub(r.absentSince) >= after
}

// view returns the row as views show it.
func (r *row) view(now time.Time, o Options) Upstream {
	state, reason := r.evaluate(now, o)
	return Upstream{
		Name: r.host.Name, Address: r.host.Address, Zone: r.host.Zone, Region: r.host.Region, Pool: r.host.Pool,
		State: state, Reason: reason,
		Incarnation: r.status.GetIncarnation(), Load: r.status.GetLoad(), LoadAt: r.statusAt,
		Models: r.status.GetModels(), Connected: r.conn == connUp,
	}
}

package member

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// maxPast is how many earlier incarnations of a side are remembered, so that their late statuses are dropped.
const maxPast = 4

type link string

const (
	linkUnknown link = ""
	linkUp      link = "up"
	linkDown    link = "down"
)

// row is what the three sources said of one host.
type row struct {
	host       host.Host
	absentFrom time.Time // first list without the host; zero while listed
	held       bool      // absence not believed, as too many vanished at once
	reused     bool      // another host is listed at its address
	status     *sidepb.Status
	statusAt   time.Time
	past       []string
	wrongName  bool
	link       link
	linkFrom   time.Time
	goneFrom   time.Time
}

// relisted returns the row after a list that shows h.
func (r row) relisted(h host.Host) row {
	moved := r.host.Address != h.Address
	if moved || r.reused {
		// Another machine under the same name: nothing seen of the old one counts.
		return row{host: h}
	}
	if !r.goneFrom.IsZero() {
		r = row{past: r.past}
	}
	r.host = h
	r.absentFrom = time.Time{}
	r.goneFrom = time.Time{}
	r.held = false
	return r
}

func (r row) withStatus(now time.Time, st *sidepb.Status) row {
	if st.GetUpstream() != "" && st.GetUpstream() != r.host.Name {
		r.wrongName = true
		return r
	}
	if slices.Contains(r.past, st.GetIncarnation()) {
		return r
	}
	if r.status != nil && r.status.GetIncarnation() != st.GetIncarnation() {
		past := append(slices.Clone(r.past), r.status.GetIncarnation())
		r.past = past[max(0, len(past)-maxPast):]
	}
	r.wrongName = false
	if !r.drained(st) {
		r.status = st
	}
	r.statusAt = now
	r.link = linkUp
	r.linkFrom = now
	return r
}

// drained says whether st would take back the leaving that the same incarnation has announced.
func (r *row) drained(st *sidepb.Status) bool {
	return r.status.GetState() == sideLeaving && r.status.GetIncarnation() == st.GetIncarnation() && st.GetState() != sideLeaving
}

// withLeaving records a leaving that was learned from a refused call.
func (r row) withLeaving(now time.Time, incarnation string) row {
	if incarnation != "" && slices.Contains(r.past, incarnation) {
		return r
	}
	st := proto.CloneOf(r.status)
	if st == nil {
		st = &sidepb.Status{Upstream: r.host.Name, Incarnation: incarnation}
	}
	if incarnation != "" && st.GetIncarnation() != incarnation {
		return r
	}
	st.State = sideLeaving
	r.status = st
	r.statusAt = now
	return r
}

// word is what the side last said, nil once that is old and nobody watches the side.
func (r *row) word(now time.Time, o Options) *sidepb.Status {
	if r.link != linkUp && now.Sub(r.statusAt) >= o.StatusTTL {
		return nil
	}
	return r.status
}

func (r row) withLink(now time.Time, up bool) row {
	want := linkDown
	if up {
		want = linkUp
	}
	if r.link != want {
		r.link = want
		r.linkFrom = now
	}
	return r
}

// judge applies the rules in their order; the first that fits decides.
func (r *row) judge(now time.Time, o Options) (State, Reason) {
	word := r.word(now, o)
	switch {
	case r.reused:
		return Gone, ReasonAddressReused
	case r.absent(now, o):
		return Gone, ReasonAbsent
	case word.GetState() == sideLeaving:
		return Leaving, ReasonSidecarLeaving
	case r.host.State == host.Leaving:
		return Leaving, ReasonListLeaving
	case r.wrongName:
		return Suspect, ReasonWrongName
	case r.link == linkDown:
		return Suspect, ReasonConnectionDown
	case r.link == linkUp && now.Sub(r.heardAt()) >= o.SuspectAfter:
		return Suspect, ReasonSilent
	case word.GetState() == sideStarting:
		return Suspect, ReasonStarting
	case word != nil && !word.GetUpstreamHealthy():
		return Suspect, ReasonUnhealthy
	case r.held:
		return Live, ReasonHeld
	case !r.absentFrom.IsZero():
		return Live, ReasonAbsentConnected
	case word != nil:
		return Live, ReasonSidecarLive
	default:
		return Live, ReasonListed
	}
}

// heardAt is the later of the last status and the start of the connection.
func (r *row) heardAt() time.Time {
	if r.statusAt.After(r.linkFrom) {
		return r.statusAt
	}
	return r.linkFrom
}

// absent says whether the list's silence about the host is believed.
func (r *row) absent(now time.Time, o Options) bool {
	if r.absentFrom.IsZero() || r.link == linkUp && now.Sub(r.heardAt()) < o.SuspectAfter {
		return false
	}
	after := o.GoneAfter
	if r.held {
		after = o.HoldFor
	}
	return now.Sub(r.absentFrom) >= after
}

func (r *row) upstream(now time.Time, o Options) Upstream {
	state, reason := r.judge(now, o)
	return Upstream{
		Name: r.host.Name, Address: r.host.Address, Zone: r.host.Zone, Region: r.host.Region, Pool: r.host.Pool,
		State: state, Reason: reason,
		Incarnation: r.status.GetIncarnation(), Load: r.status.GetLoad(), LoadAt: r.statusAt,
		Models: r.status.GetModels(), Connected: r.link == linkUp,
	}
}

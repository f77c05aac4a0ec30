package front

import (
	"net/http"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/balance"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// Plan is what an entry would do with a request that arrived now.
type Plan struct {
	Refused   *fault.Error // nil if the entry would not refuse it
	Status    int          // of the refusal
	Route     rule.Route
	Team      string
	Rank      int
	Remaining time.Duration       // until the deadline
	Pool      string              // the one that is explained
	Order     *lead.Order         // that the leader would get; nil if the entry picks the upstream itself
	Upstreams []balance.Candidate // that the entry would pick from, the best first
}

// Explain returns what would be done with a request that arrived now; body is its body. Of the pools of its route it takes
// the one with the greatest weight. It changes nothing.
func (f *Front) Explain(r *http.Request, body []byte) Plan {
	x := &exchange{Front: f, in: r, arrived: f.o.Now(), rules: f.o.Rules(), head: f.o.Codec.ReadRequest(r.Header), key: "explain"}
	x.logID = x.head.ID
	failure := x.identify()
	p := Plan{Route: x.route, Team: x.team, Rank: x.priority}
	if failure == nil {
		failure = x.checkUnsent(body)
	}
	if failure != nil {
		p.Refused, p.Status = failure, statusOf(failure)
		return p
	}
	x.mark(body)
	if d := x.o.Crash.BlockedFor(x.fingerprint, x.parts); d > 0 {
		p.Refused = quarantined(d)
		p.Status = statusOf(p.Refused)
		return p
	}
	x.setDeadline()
	p.Remaining = x.remaining()
	most := -1
	for _, s := range x.route.Split {
		if s.Weight > most {
			x.pool, most = s.Pool, s.Weight
		}
	}
	p.Pool = x.pool
	if x.isPlaced() {
		order := x.order()
		p.Order = &order
		return p
	}
	ready, wait := x.o.Notices.NotPaused(x.o.Hosts().Ready(x.pool))
	p.Upstreams = x.o.Picker.Explain(ready, x.o.Zone)
	if len(p.Upstreams) == 0 {
		p.Refused = fault.New(fault.NotRun, fault.NoUpstream, "no upstream of pool %s takes work", x.pool).
			WithRetryAfter(max(wait, defaultRetryAfter))
		p.Status = statusOf(p.Refused)
	}
	return p
}

// checkUnsent makes the checks of prepare that need the whole request.
func (x *exchange) checkUnsent(body []byte) *fault.Error {
	switch {
	case x.o.Stopping():
		return stopping()
	case int64(len(body)) > x.bodyLimit():
		return fault.New(fault.NotRun, fault.TooLarge, "the body is larger than %d bytes", x.bodyLimit())
	case !x.head.HasAtMostPieces(maxPieces):
		return fault.New(fault.NotRun, fault.BadRequest, "more than %d pieces", maxPieces)
	}
	return nil
}

package opsapi

import (
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/front"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// drain starts the graceful shutdown of this entry, or of the side of an upstream.
func (a *API) drain(r *http.Request, in admin.DrainRequest) (admin.DrainReply, *fault.Error) {
	if in.Author == "" {
		return admin.DrainReply{}, missingField("author")
	}
	a.opts.Log.Info("request for a drain",
		zap.String("host", in.Host), zap.String("author", in.Author), zap.String("reason", in.Reason))
	if in.Host == a.opts.Name {
		return admin.DrainReply{Host: in.Host, InFlight: uint32(a.opts.Drain())}, nil
	}
	u, known := a.opts.Links.View().Upstream(in.Host)
	if !known {
		return admin.DrainReply{}, fault.New(fault.NotRun, fault.NotFound, "there is no host %q", in.Host)
	}
	if u.Pool == "" {
		return admin.DrainReply{}, fault.New(fault.NotRun, fault.BadRequest, "host %q is an entry; ask it itself to drain", in.Host)
	}
	side, release, err := a.sideClient(u)
	if err != nil {
		return admin.DrainReply{}, fault.New(fault.NotRun, fault.NoUpstream, "no connection to host %q", in.Host).WithCause(err)
	}
	defer release()
	reply, err := side.Drain(r.Context(), &sidepb.DrainRequest{Author: in.Author, Reason: in.Reason})
	if err != nil {
		return admin.DrainReply{}, fault.New(fault.MayHaveRun, fault.Transport, "host %q did not answer", in.Host).WithCause(err)
	}
	return admin.DrainReply{Host: in.Host, InFlight: reply.GetInFlight()}, nil
}

// sideClient returns a connection to a side. If the entry keeps none, it opens one, which release closes.
func (a *API) sideClient(u member.Upstream) (side sidepb.SideClient, release func(), err error) {
	if side, ok := a.opts.Links.Client(u.Name); ok {
		return side, func() {}, nil
	}
	conn, err := a.opts.Dial(u.Address)
	if err != nil {
		return nil, nil, err
	}
	return conn, func() { _ = conn.Close() }, nil
}

// outcome returns the recorded outcome of a team's action.
func (a *API) outcome(r *http.Request, _ noBody) (admin.Outcome, *fault.Error) {
	q := r.URL.Query()
	team := q.Get("team")
	if team == "" {
		return admin.Outcome{}, missingField("team")
	}
	out, err := a.opts.Actions.Outcome(r.Context(), team, q.Get("service"), pathvar.Vars(r)["key"])
	return adminOutcome(team, out), err
}

// settleAction records an operator's verdict on an action whose outcome is unknown.
func (a *API) settleAction(r *http.Request, in admin.SettleActionRequest) (admin.Outcome, *fault.Error) {
	switch {
	case in.Author == "":
		return admin.Outcome{}, missingField("author")
	case in.Reason == "":
		return admin.Outcome{}, missingField("reason")
	case in.Team == "":
		return admin.Outcome{}, missingField("team")
	case in.Service == "":
		return admin.Outcome{}, missingField("service")
	case in.Verdict != fault.Ran && in.Verdict != fault.NotRun:
		return admin.Outcome{}, fault.New(fault.NotRun, fault.BadRequest, "field \"verdict\" is %q, not ran or notRun", in.Verdict)
	}
	out, err := a.opts.Actions.Settle(r.Context(), &sidepb.SettleRequest{
		Team:    in.Team,
		Service: in.Service,
		Key:     pathvar.Vars(r)["key"],
		Verdict: string(in.Verdict),
		Author:  in.Author,
		Reason:  in.Reason,
	})
	return adminOutcome(in.Team, out), err
}

// adminOutcome converts an outcome to the form that operators receive.
func adminOutcome(team string, o front.Outcome) admin.Outcome {
	return admin.Outcome{
		Key:     o.Key,
		Team:    team,
		Service: o.Service,
		State:   o.State,
		Verdict: o.Verdict,
		Answer:  o.Answer,
		Author:  o.Author,
		Reason:  o.Reason,
	}
}

// quarantine lists the fingerprints that are suspected of crashes or quarantined.
func (a *API) quarantine(*http.Request, noBody) (admin.Quarantine, *fault.Error) {
	out := admin.Quarantine{Marks: []admin.Mark{}}
	for _, e := range a.opts.Marks.Load().List(time.Now()) {
		out.Marks = append(out.Marks, admin.Mark{
			Fingerprint: e.Fingerprint,
			State:       string(e.State),
			Crashes:     e.Crashes,
			Expires:     e.Expires,
		})
	}
	return out, nil
}

// lift clears the mark of a fingerprint and returns the remaining marks.
func (a *API) lift(r *http.Request, in admin.LiftRequest) (admin.Quarantine, *fault.Error) {
	if in.Author == "" {
		return admin.Quarantine{}, missingField("author")
	}
	now := time.Now()
	if s := a.opts.Marks.Load().State(in.Fingerprint, now); s == poison.Clear {
		return admin.Quarantine{}, fault.New(fault.NotRun, fault.NotFound, "fingerprint %q is not marked", in.Fingerprint)
	}
	a.opts.Marks.Update(func(s *poison.Set) *poison.Set { return s.WithLift(now, in.Fingerprint, in.Author) })
	a.opts.Log.Info("quarantine lifted", zap.String("fingerprint", in.Fingerprint),
		zap.String("author", in.Author), zap.String("reason", in.Reason))
	return a.quarantine(r, noBody{})
}

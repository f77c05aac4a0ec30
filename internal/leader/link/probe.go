package link

import (
	"context"
	"errors"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
)

// refusal is the reason why a member can't lead; empty if it can.
type refusal string

const (
	refusedUnreachable refusal = "unreachable"
	refusedSilent      refusal = "silent"
	refusedLeaving     refusal = "leaving"
	refusedFollower    refusal = "follows another"
	refusedRestarted   refusal = "another lifetime" // not the process in its record, so its rank is not known
)

var errNoPong = errors.New("no pong in time")

// probeResult is the answer of a member that was asked to lead.
type probeResult struct {
	member  registry.Member
	session *session         // nil if it can't lead
	leader  *registry.Member // the leader that the member follows; nil if none
	refusal refusal
	err     error
}

// probe connects to a member, within limit, and waits for a pong that says whether it can lead. The session of a member
// that can passes the decisions that it receives to decided.
func probe(ctx context.Context, m registry.Member, o Options, limit time.Duration,
	decided func(string, lead.Decision)) probeResult {
	s, err := dial(ctx, m, o, limit, decided)
	if err != nil {
		return probeResult{member: m, refusal: refusedUnreachable, err: err}
	}
	r := probeResult{member: m, session: s}
	s.ping()
	timer := time.NewTimer(probeTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		r.refusal, r.err = refusedSilent, ctx.Err()
	case <-timer.C:
		r.refusal, r.err = refusedSilent, errNoPong
	case p := <-s.firstPong:
		switch {
		case p.Leaving:
			r.refusal = refusedLeaving
		case p.Born != m.Born:
			r.refusal = refusedRestarted
		case p.Follows:
			r.refusal, r.leader = refusedFollower, leaderOf(p)
		}
	}
	if r.refusal != "" {
		s.close()
		r.session = nil
	}
	return r
}

package link

import (
	"context"
	"errors"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
)

// refusal says why a member can't lead; empty if it can.
type refusal string

const (
	refusedUnreachable refusal = "unreachable"
	refusedSilent      refusal = "silent"
	refusedLeaving     refusal = "leaving"
	refusedFollows     refusal = "follows another"
	refusedReborn      refusal = "another lifetime" // than the record says, so that its place in the order is not known
)

var errNoPong = errors.New("no pong in time")

// answer is what a member said when it was asked to lead.
type answer struct {
	member  registry.Member
	session *session         // if it can
	leader  *registry.Member // whom it follows
	refusal refusal
	err     error
}

// ask connects to a member within a time and waits until it has said that it leads.
func ask(ctx context.Context, m registry.Member, o Options, limit time.Duration, decided func(string, lead.Decision)) answer {
	s, err := dial(ctx, m, o, limit, decided)
	if err != nil {
		return answer{member: m, refusal: refusedUnreachable, err: err}
	}
	a := answer{member: m, session: s}
	s.ping()
	timer := time.NewTimer(askTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		a.refusal, a.err = refusedSilent, ctx.Err()
	case <-timer.C:
		a.refusal, a.err = refusedSilent, errNoPong
	case p := <-s.pongs:
		switch {
		case p.Leaving:
			a.refusal = refusedLeaving
		case p.Born != m.Born:
			a.refusal = refusedReborn
		case p.Follows:
			a.refusal, a.leader = refusedFollows, leaderOf(p)
		}
	}
	if a.refusal != "" {
		s.close()
		a.session = nil
	}
	return a
}

package serve

import (
	"context"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/state/claim"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// States of an action that have no counterpart among the states of its claim.
const (
	unknownState = "unknown"
	inDoubtState = "mayHaveRun"
)

// Outcome returns the state of an action, read from the end of the action stream.
func (s *Server) Outcome(ctx context.Context, req *sidepb.OutcomeRequest) (*sidepb.OutcomeReply, error) {
	k, err := s.actionKey(req.GetTeam(), req.GetService(), req.GetKey())
	if err != nil {
		return nil, err
	}
	e, known, err := s.claims.ReadState(ctx, k)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return s.outcomeReply(ctx, k, e, known)
}

// Settle records an operator's decision about an action whose outcome is unknown.
func (s *Server) Settle(ctx context.Context, req *sidepb.SettleRequest) (*sidepb.OutcomeReply, error) {
	k, err := s.actionKey(req.GetTeam(), req.GetService(), req.GetKey())
	if err != nil {
		return nil, err
	}
	v := fault.Verdict(req.GetVerdict())
	if v != fault.Ran && v != fault.NotRun {
		return nil, status.Errorf(codes.InvalidArgument, "verdict %q is not %s or %s", v, fault.Ran, fault.NotRun)
	}
	if req.GetAuthor() == "" || req.GetReason() == "" {
		return nil, status.Error(codes.InvalidArgument, "settlement needs an author and a reason")
	}
	e, known, err := s.claims.ReadState(ctx, k)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if !known || !s.settleable(e) {
		return nil, status.Errorf(codes.FailedPrecondition, "action is not in doubt: %s", s.stateName(e, known))
	}
	e, err = s.claims.Settle(ctx, k, e, v, req.GetAuthor(), req.GetReason())
	if err != nil {
		return nil, status.Errorf(codes.Unavailable, "settlement may or may not take effect: %v", err)
	}
	s.opts.Zap.Info("settle",
		zap.String("key", k.Key),
		zap.String("verdict", string(e.Verdict)),
		zap.String("author", e.Author),
		zap.String("reason", e.Reason))
	return s.outcomeReply(ctx, k, e, true)
}

// Doubts lists the actions of the side's service that are in doubt: they may have run and have no recorded outcome.
func (s *Server) Doubts(ctx context.Context, req *sidepb.DoubtsRequest) (*sidepb.DoubtsReply, error) {
	if s.claims == nil {
		return nil, status.Errorf(codes.InvalidArgument, "pool %q runs no actions", s.opts.Pool.Name)
	}
	doubts, err := s.claims.InDoubt(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &sidepb.DoubtsReply{Total: uint32(len(doubts))}
	for _, d := range doubts[:min(len(doubts), int(req.GetLimit()))] {
		out.Doubts = append(out.Doubts, &sidepb.Doubt{
			Team:         d.Team,
			Key:          d.Key.Key,
			Owner:        d.Owner,
			MintedUnixMs: d.Minted.UnixMilli(),
		})
	}
	return out, nil
}

// settleable reports whether an action is in doubt and the holder of its claim can no longer dispatch it.
func (s *Server) settleable(e claim.Entry) bool {
	return e.State == claim.OutcomeLost || e.State == claim.Claimed && !s.mayBeRunning(e)
}

// outcomeReply returns the state of an action and, if it is done, its recorded answer while the log keeps it.
func (s *Server) outcomeReply(ctx context.Context, k claim.Key, e claim.Entry, known bool) (
	*sidepb.OutcomeReply, error) {
	out := &sidepb.OutcomeReply{
		State:  s.stateName(e, known),
		Owner:  e.Owner,
		Offset: e.Offset,
		Author: e.Author,
		Reason: e.Reason,
	}
	out.Verdict = string(verdict(e, known))
	if e.State != claim.Done {
		return out, nil
	}
	r, ok, err := s.claims.Outcome(ctx, k, e)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if ok {
		out.Answer = r.Answer
		out.Digest = r.AnswerDigest
		out.Owner = r.Owner
	}
	return out, nil
}

// stateName returns the state of an action as operators and entries see it.
func (s *Server) stateName(e claim.Entry, known bool) string {
	switch {
	case !known:
		return unknownState
	case e.State == claim.OutcomeLost, e.State == claim.Claimed && !s.mayBeRunning(e):
		return inDoubtState
	}
	return string(e.State)
}

// verdict returns whether the action ran; it is empty while no claim holds the key, as a call may still claim it.
func verdict(e claim.Entry, known bool) fault.Verdict {
	switch {
	case !known, e.State == claim.Free:
		return ""
	case e.State == claim.Done, e.State == claim.Settled:
		return e.Verdict
	}
	return fault.MayHaveRun
}

// actionKey validates a key of an operator's request; its error is a gRPC status.
func (s *Server) actionKey(team, service, key string) (claim.Key, error) {
	if s.claims == nil || service != s.opts.Pool.Name {
		return claim.Key{}, status.Errorf(codes.InvalidArgument,
			"pool %q does not run the actions of %q", s.opts.Pool.Name, service)
	}
	if _, ok := ident.MintTime(key); !ok {
		return claim.Key{}, status.Errorf(codes.InvalidArgument, "key %.40q is not a UUIDv7", key)
	}
	return claim.Key{Team: team, Key: key}, nil
}

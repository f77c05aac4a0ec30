package front

import (
	"time"

	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// checkKey returns an error unless a request with an action has a UUIDv7 key minted within timing.ActionWindow, and any
// other request has none.
func checkKey(req task.Request, now time.Time) *fault.Error {
	if !req.HasAction() {
		if req.Key != "" {
			return fault.New(fault.NotRun, fault.BadRequest, "pipeline %q has no action that a key could name", req.Pipeline.Name)
		}
		return nil
	}
	if req.Key == "" {
		return fault.New(fault.NotRun, fault.BadRequest, "pipeline %q needs a key: a UUIDv7 minted once for the action", req.Pipeline.Name)
	}
	minted, err := mintTime(req.Key)
	if err != nil {
		return err
	}
	if minted.After(now.Add(timing.ClockSkew)) {
		return fault.New(fault.NotRun, fault.BadRequest, "the key was minted in the future, at %s", minted.UTC().Format(time.RFC3339))
	}
	if now.Sub(minted) > timing.ActionWindow {
		return fault.New(fault.MayHaveRun, fault.KeyExpired,
			"the key was minted over %s ago; what became of its action is no longer recorded", timing.ActionWindow)
	}
	return nil
}

// mintTime returns the timestamp of a UUIDv7.
func mintTime(key string) (time.Time, *fault.Error) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || len(key) != len(id.String()) {
		return time.Time{}, fault.New(fault.NotRun, fault.BadRequest, "key %.40q is not a UUIDv7", key)
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), nil
}

package claim

import (
	"time"

	"github.com/google/uuid"
)

// doneKey is a compact form of Key.
type doneKey struct {
	team string
	id   uuid.UUID
}

// doneAction is what is kept of an action that ran; the rest is in its outcome record.
type doneAction struct {
	body   BodyHash
	offset int64
}

// doneKey returns the compact form of a key; all keys of a team share one copy of its name.
func (f *Fold) doneKey(k Key) doneKey {
	team, ok := f.teamNames[k.Team]
	if !ok {
		team = k.Team
		f.teamNames[team] = team
	}
	id, _ := uuid.Parse(k.Key) // keys of records and callers have been validated before
	return doneKey{team: team, id: id}
}

func (k doneKey) minted() time.Time { return time.Unix(k.id.Time().UnixTime()) }

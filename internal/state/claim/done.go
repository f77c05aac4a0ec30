package claim

import (
	"time"

	"github.com/google/uuid"
)

// doneKey is a Key in little memory.
type doneKey struct {
	team string
	id   uuid.UUID
}

// done is an action that ran; all else is in the outcome record.
type done struct {
	body   BodyHash
	offset int64
}

// doneKey shares one copy of a team's name between all its keys.
func (f *Fold) doneKey(k Key) doneKey {
	team, ok := f.teams[k.Team]
	if !ok {
		team = k.Team
		f.teams[team] = team
	}
	id, _ := uuid.Parse(k.Key) // records and callers' keys were checked before
	return doneKey{team: team, id: id}
}

func (k doneKey) minted() time.Time { return time.Unix(k.id.Time().UnixTime()) }

package ident

import (
	"time"

	"github.com/google/uuid"
)

// MintTime reads the time that a UUIDv7 in its canonical form carries; false for anything else.
func MintTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || len(id) != len(u.String()) {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

package ident

import (
	"time"

	"github.com/google/uuid"
)

// MintTime returns the time in a UUIDv7; false for anything but its canonical form, so that an
// identity has only one spelling.
func MintTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || id != u.String() {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

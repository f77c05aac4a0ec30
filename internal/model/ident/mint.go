package ident

import (
	"time"

	"github.com/google/uuid"
)

// MintTime reads the time that a UUIDv7 carries; false for anything but its canonical form, so that one
// identity has one spelling.
func MintTime(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || id != u.String() {
		return time.Time{}, false
	}
	sec, nsec := u.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

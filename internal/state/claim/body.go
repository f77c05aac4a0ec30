package claim

import "github.com/cespare/xxhash/v2"

// BodyHash identifies the body of an action's request; the zero value is that of none.
type BodyHash [2]uint64

// HashBody shortens the digest of a body.
func HashBody(digest string) BodyHash {
	return BodyHash{xxhash.Sum64String(digest), xxhash.Sum64String(digest + "2")}
}

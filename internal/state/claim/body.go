package claim

import "github.com/cespare/xxhash/v2"

// BodyHash is a 128-bit hash of the body of an action's request; the zero value means that there is no body.
type BodyHash [2]uint64

// HashBody hashes the digest of a body to save memory.
func HashBody(digest string) BodyHash {
	return BodyHash{xxhash.Sum64String(digest), xxhash.Sum64String(digest + "2")}
}

package crash

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
)

const (
	maxParts     = 64 // of one request; later ones are not looked at
	maxPartBytes = 64 // a longer name is replaced by its digest
)

// Report is one request whose answer broke off when its upstream crashed.
type Report struct {
	Fingerprint uint64   // of the whole request
	Parts       []string // of its prompt, as PartsOf names them
	Lifetime    string   // of the upstream
	Sent        time.Time
	Broke       time.Time
	Begun       bool // the answer had begun
	Own         bool // seen by this process itself

	heard time.Time // when this process heard of it
}

// Block is a set of prompt parts; requests that have all of them crash upstreams and are refused.
type Block struct {
	Parts []string      // sorted
	First time.Time     // of the crashes that are held against the parts
	Until time.Time     // when one request is let through as a trial
	Pause time.Duration // from a crash to the next trial

	trialAt time.Time // of the trial that has no result yet
}

// covers reports whether a request with the given parts is refused.
func (b Block) covers(parts []string) bool { return isSubset(b.Parts, parts) }

// PartsOf names the parts of a prompt that other requests may share: all but the last.
func PartsOf(model string, prefix []call.PrefixBlock) []string {
	var out []string
	for _, p := range prefix[:max(0, len(prefix)-1)] {
		name := model + "/" + p.ID
		if len(name) > maxPartBytes {
			name = strconv.FormatUint(xxhash.Sum64String(name), 16)
		}
		if len(out) < maxParts && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// isSubset reports whether a set that is not empty lies within another.
func isSubset(set, of []string) bool {
	for _, s := range set {
		if !slices.Contains(of, s) {
			return false
		}
	}
	return len(set) > 0
}

package gossip

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

const (
	// marksPerMessage limits the pending marks in one message.
	marksPerMessage = 16
	// repairLatest is the number of latest marks from which each repair takes one in turn.
	repairLatest = 8
	// digestTTL is how long the digest of an unchanged set is cached.
	digestTTL = time.Second
	// extraSends is how many more times than the logarithm of the number of peers a changed mark is sent.
	extraSends = 3
)

// rumors selects the marks for each message: each changed mark a few times (rumor mongering), and others in turn when a
// peer's digest differs (anti-entropy).
type rumors struct {
	mu           sync.Mutex
	last         *poison.Set    // set at the last call of detectChanges
	sendsLeft    map[string]int // remaining sends, by fingerprint
	repairTurn   int            // number of repairs sent
	sendsPerMark int            // how many times a changed mark is sent
	peerDiffers  bool           // a peer's digest differed

	digestSet  *poison.Set // set to which lastDigest belongs
	digestAt   time.Time   // when lastDigest was computed
	lastDigest uint64

	changed bool // some mark changed since the last takeChanged
}

func newRumors() *rumors {
	return &rumors{last: emptyMarks, sendsLeft: map[string]int{}, sendsPerMark: extraSends}
}

// setPeerCount adjusts the number of sends to the number of peers.
func (r *rumors) setPeerCount(peers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendsPerMark = bits.Len(uint(peers)) + extraSends
}

// takeChanged reports whether any mark has changed since the last call.
func (r *rumors) takeChanged(s *poison.Set) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detectChanges(s)
	changed := r.changed
	r.changed = false
	return changed
}

// detectChanges schedules the marks that changed since the last call; the caller holds mu.
func (r *rumors) detectChanges(s *poison.Set) {
	for _, fp := range s.Changed(r.last) {
		r.sendsLeft[fp] = r.sendsPerMark
		r.changed = true
	}
	r.last = s
}

// nextMarks returns the marks for the next message: pending ones and, with repair, a few others (see nextRepairs).
func (r *rumors) nextMarks(now time.Time, s *poison.Set, repair bool) []*peerpb.Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detectChanges(s)
	fps := r.takePending()
	if repair {
		fps = append(fps, r.nextRepairs(s)...)
	}
	slices.Sort(fps)
	return s.Marks(now, slices.Compact(fps))
}

// takePending returns the marks with the most remaining sends and counts one send of each.
func (r *rumors) takePending() []string {
	fps := slices.Collect(maps.Keys(r.sendsLeft))
	slices.SortFunc(fps, func(a, b string) int { return cmp.Or(r.sendsLeft[b]-r.sendsLeft[a], cmp.Compare(a, b)) })
	fps = fps[:min(len(fps), marksPerMessage)]
	for _, fp := range fps {
		r.sendsLeft[fp]--
		if r.sendsLeft[fp] <= 0 {
			delete(r.sendsLeft, fp)
		}
	}
	return fps
}

// nextRepairs returns the next of all marks and the next of the latest ones, which peers are the most likely to lack.
func (r *rumors) nextRepairs(s *poison.Set) []string {
	all := s.Fingerprints()
	if len(all) == 0 {
		return nil
	}
	latest := s.Latest(repairLatest)
	r.repairTurn++
	return []string{all[r.repairTurn%len(all)], latest[r.repairTurn%len(latest)]}
}

// digest returns the digest of a set. It is cached while the set is unchanged, but only for digestTTL, as marks expire.
func (r *rumors) digest(now time.Time, s *poison.Set) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s != r.digestSet || now.Sub(r.digestAt) >= digestTTL {
		r.digestSet, r.digestAt, r.lastDigest = s, now, s.Digest(now)
	}
	return r.lastDigest
}

// compareDigests notes whether a peer's digest differs, so that the next request carries repairs.
func (r *rumors) compareDigests(theirs, own uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerDiffers = r.peerDiffers || theirs != own
}

// takePeerDiffers reports whether a peer's digest has differed since the last call.
func (r *rumors) takePeerDiffers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	differs := r.peerDiffers
	r.peerDiffers = false
	return differs
}

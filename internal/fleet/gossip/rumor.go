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
	// marksPerMessage bounds the marks of one message.
	marksPerMessage = 16
	// repairLatest is among how many of the latest marks a peer that holds another set is sent one each time.
	repairLatest = 8
	// digestFor is how long the digest of a set is kept.
	digestFor = time.Second
	// extraRepeats is how much more often than the logarithm of the fleet's size a fresh mark is sent.
	extraRepeats = 3
)

// rumors decides which marks go along with a message: each fresh one a few times, and others when a peer holds another set.
type rumors struct {
	mu      sync.Mutex
	seen    *poison.Set
	left    map[string]int // sends left, by fingerprint
	repairs int
	repeats int
	differs bool // a peer held another set

	digestOf *poison.Set
	digestAt time.Time
	sum      uint64

	news bool // something became fresh since the last takeNews
}

func newRumors() *rumors {
	return &rumors{seen: emptySet, left: map[string]int{}, repeats: extraRepeats}
}

// sizeFor adjusts the number of sends to the number of peers.
func (r *rumors) sizeFor(peers int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.repeats = bits.Len(uint(peers)) + extraRepeats
}

// takeNews says whether any mark has become fresh since it was last asked.
func (r *rumors) takeNews(s *poison.Set) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(s)
	news := r.news
	r.news = false
	return news
}

// note makes what changed since the last look fresh; the caller holds mu.
func (r *rumors) note(s *poison.Set) {
	for _, fp := range s.Changed(r.seen) {
		r.left[fp] = r.repeats
		r.news = true
	}
	r.seen = s
}

// next returns the marks for the next message: the fresh ones, and a few others for a peer that holds another set.
func (r *rumors) next(now time.Time, s *poison.Set, repair bool) []*peerpb.Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(s)
	fps := r.fresh()
	if repair {
		fps = append(fps, r.repair(s)...)
	}
	slices.Sort(fps)
	return s.Marks(now, slices.Compact(fps))
}

// fresh takes the marks with the most sends left.
func (r *rumors) fresh() []string {
	fps := slices.Collect(maps.Keys(r.left))
	slices.SortFunc(fps, func(a, b string) int { return cmp.Or(r.left[b]-r.left[a], cmp.Compare(a, b)) })
	fps = fps[:min(len(fps), marksPerMessage)]
	for _, fp := range fps {
		r.left[fp]--
		if r.left[fp] <= 0 {
			delete(r.left, fp)
		}
	}
	return fps
}

// repair takes the next mark in turn and the next of the latest ones, which are the likeliest to be missing.
func (r *rumors) repair(s *poison.Set) []string {
	all := s.Fingerprints()
	if len(all) == 0 {
		return nil
	}
	latest := s.Latest(repairLatest)
	r.repairs++
	return []string{all[r.repairs%len(all)], latest[r.repairs%len(latest)]}
}

// digest is the digest of a set, kept while the set stays the same and for as long as nothing can expire unnoticed.
func (r *rumors) digest(now time.Time, s *poison.Set) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s != r.digestOf || now.Sub(r.digestAt) >= digestFor {
		r.digestOf, r.digestAt, r.sum = s, now, s.Digest(now)
	}
	return r.sum
}

// compare notes whether a peer holds another set, so that the next request brings some marks.
func (r *rumors) compare(theirs, own uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.differs = r.differs || theirs != own
}

// takeDiffers says whether a peer held another set since it was last asked.
func (r *rumors) takeDiffers() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	differs := r.differs
	r.differs = false
	return differs
}

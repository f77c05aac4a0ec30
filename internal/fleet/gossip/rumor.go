package gossip

import (
	"cmp"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fleet/mark"
	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

const (
	// marksPerMessage bounds the marks of one message.
	marksPerMessage = 16
	// repairEvery is how many messages have one with some old marks, for processes that missed them.
	repairEvery = 4
	// repairMarks is how many old marks such a message has.
	repairMarks = 2
	// extraRepeats is how much more often than the logarithm of the fleet's size a fresh mark is sent.
	extraRepeats = 3
)

// rumors decides which marks go along with a message: each fresh one a few times, old ones in turn now and then.
type rumors struct {
	mu      sync.Mutex
	seen    *mark.Set
	left    map[string]int // sends left, by fingerprint
	sent    int
	cursor  string
	repeats int
	news    bool // something became fresh since the last takeNews
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
func (r *rumors) takeNews(s *mark.Set) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(s)
	news := r.news
	r.news = false
	return news
}

// note makes what changed since the last look fresh; the caller holds mu.
func (r *rumors) note(s *mark.Set) {
	for _, fp := range s.Changed(r.seen) {
		r.left[fp] = r.repeats
		r.news = true
	}
	r.seen = s
}

// next returns the marks for the next message.
func (r *rumors) next(now time.Time, s *mark.Set) []*peerpb.Mark {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.note(s)
	var fps []string
	for fp := range r.left {
		fps = append(fps, fp)
	}
	slices.SortFunc(fps, func(a, b string) int { return cmp.Or(r.left[b]-r.left[a], cmp.Compare(a, b)) })
	fps = fps[:min(len(fps), marksPerMessage)]
	for _, fp := range fps {
		r.left[fp]--
		if r.left[fp] <= 0 {
			delete(r.left, fp)
		}
	}
	r.sent++
	if r.sent%repairEvery == 0 {
		fps = append(fps, r.repair(s)...)
	}
	slices.Sort(fps)
	return s.Wire(now, slices.Compact(fps))
}

func (r *rumors) repair(s *mark.Set) []string {
	all := s.Fingerprints()
	start, _ := slices.BinarySearch(all, r.cursor+"\x00")
	var out []string
	for i := range min(repairMarks, len(all)) {
		r.cursor = all[(start+i)%len(all)]
		out = append(out, r.cursor)
	}
	return out
}

package resend

import (
	"sync"
	"time"
)

const slices = 20 // of the window

// Budget is one process's part of the repeats that all processes together may send; it is safe for concurrent use.
type Budget struct {
	ratio  float64
	slack  int
	window time.Duration
	peers  func() int
	now    func() time.Time
	mu     sync.Mutex
	pools  map[string]*counts
}

// counts holds the requests and repeats of a pool by slices of time.
type counts struct {
	newest   int64
	requests [slices]int
	repeats  [slices]int
}

// New returns a budget for windows of a length, shared evenly among the peers; it allows nothing until Set.
func New(window time.Duration, peers func() int, now func() time.Time) *Budget {
	return &Budget{window: window, peers: peers, now: now, pools: map[string]*counts{}}
}

// Set allows ratio repeats for each request, and slack for all peers together, in any window.
func (b *Budget) Set(ratio float64, slack int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// CountRequest counts a request for a pool.
func (b *Budget) CountRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, at := b.slot(pool)
	c.requests[at]++
}

// TakeRepeat takes one repeat to a pool out of the budget; false when it is spent.
func (b *Budget) TakeRepeat(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, at := b.slot(pool)
	requests, repeats := 0, 0
	for i := range slices {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	allowed := b.ratio*float64(requests) + float64(b.slack)/float64(max(1, b.peers()))
	if float64(repeats+1) > allowed {
		return false
	}
	c.repeats[at]++
	return true
}

// slot returns the counts of a pool without those older than the window, and the present slice.
func (b *Budget) slot(pool string) (*counts, int) {
	c := b.pools[pool]
	if c == nil {
		c = &counts{}
		b.pools[pool] = c
	}
	present := b.now().UnixNano() / int64(b.window/slices)
	if present-c.newest >= slices {
		*c = counts{newest: present}
	}
	for ; c.newest < present; c.newest++ {
		next := (c.newest + 1) % slices
		c.requests[next], c.repeats[next] = 0, 0
	}
	return c, int(present % slices)
}

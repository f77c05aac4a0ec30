package resend

import (
	"sync"
	"time"
)

const slotCount = 20 // slots of the sliding window

// Budget is one process's share of the repeats that all processes together may send; it is safe for concurrent use.
type Budget struct {
	ratio  float64 // repeats allowed for each request
	slack  int     // further repeats in a window, of all processes together
	window time.Duration
	peers  func() int // number of processes, including this one
	now    func() time.Time
	mu     sync.Mutex
	pools  map[string]*counts
}

// counts holds the requests and repeats of a pool for each slot of the window.
type counts struct {
	newest   int64 // slot number since the Unix epoch
	requests [slotCount]int
	repeats  [slotCount]int
}

// New returns a budget for a sliding window, shared evenly among the peers; it allows nothing until Set.
func New(window time.Duration, peers func() int, now func() time.Time) *Budget {
	return &Budget{window: window, peers: peers, now: now, pools: map[string]*counts{}}
}

// Set allows ratio repeats for each request, plus slack repeats for all peers together, in any window.
func (b *Budget) Set(ratio float64, slack int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// CountRequest counts a request for a pool.
func (b *Budget) CountRequest(pool string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, index := b.currentSlot(pool)
	c.requests[index]++
}

// TakeRepeat takes one repeat to a pool out of the budget; false when it is spent.
func (b *Budget) TakeRepeat(pool string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, index := b.currentSlot(pool)
	requests, repeats := 0, 0
	for i := range slotCount {
		requests += c.requests[i]
		repeats += c.repeats[i]
	}
	allowed := b.ratio*float64(requests) + float64(b.slack)/float64(max(1, b.peers()))
	if float64(repeats+1) > allowed {
		return false
	}
	c.repeats[index]++
	return true
}

// currentSlot clears the slots of a pool that are older than the window, and returns its counts and the current slot.
func (b *Budget) currentSlot(pool string) (*counts, int) {
	c := b.pools[pool]
	if c == nil {
		c = &counts{}
		b.pools[pool] = c
	}
	slot := b.now().UnixNano() / int64(b.window/slotCount)
	if slot-c.newest >= slotCount {
		*c = counts{newest: slot}
	}
	for ; c.newest < slot; c.newest++ {
		next := (c.newest + 1) % slotCount
		c.requests[next], c.repeats[next] = 0, 0
	}
	return c, int(slot % slotCount)
}

package proof

import (
	"sync"
	"time"
)

// span is an interval of time.
type span struct{ from, to time.Time }

// emptyPools records when planned stops left a pool without any host.
type emptyPools struct {
	mu         sync.Mutex
	missing    map[string]int
	emptySince map[string]time.Time
	spans      map[string][]span
}

func newEmptyPools() *emptyPools {
	return &emptyPools{missing: map[string]int{}, emptySince: map[string]time.Time{}, spans: map[string][]span{}}
}

// hostLeft records that a host starts to leave a pool with the given number of hosts.
func (e *emptyPools) hostLeft(pool string, hosts int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.missing[pool]++; e.missing[pool] == hosts {
		e.emptySince[pool] = time.Now()
	}
}

// hostReturned records that a host has returned to a pool with the given number of hosts.
func (e *emptyPools) hostReturned(pool string, hosts int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.missing[pool]--; e.missing[pool] == hosts-1 {
		// The entries use the host only once they have reconnected.
		e.spans[pool] = append(e.spans[pool], span{e.emptySince[pool], time.Now().Add(reconnectAfter + linkDelay)})
	}
}

// overlaps reports whether a pool was without hosts at some moment of a span.
func (e *emptyPools) overlaps(pool string, s span) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, empty := range e.spans[pool] {
		if empty.from.Before(s.to) && s.from.Before(empty.to) {
			return true
		}
	}
	return false
}

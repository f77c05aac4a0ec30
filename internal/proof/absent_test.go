package proof

import (
	"sync"
	"time"
)

// span is a time from its first to its last moment.
type span struct{ from, to time.Time }

// absences records the times in which planned stops left pools without any host.
type absences struct {
	mu    sync.Mutex
	away  map[string]int
	since map[string]time.Time
	spans map[string][]span
}

func newAbsences() *absences {
	return &absences{away: map[string]int{}, since: map[string]time.Time{}, spans: map[string][]span{}}
}

// leave records that a host leaves a pool of so many.
func (a *absences) leave(pool string, hosts int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.away[pool]++; a.away[pool] == hosts {
		a.since[pool] = time.Now()
	}
}

// back records that a host of a pool of so many is back.
func (a *absences) back(pool string, hosts int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.away[pool]--; a.away[pool] == hosts-1 {
		// The entries know of the host when they have connected again.
		a.spans[pool] = append(a.spans[pool], span{a.since[pool], time.Now().Add(reconnectAfter + linkDelay)})
	}
}

// during says whether a pool was without hosts at some moment of a span.
func (a *absences) during(pool string, s span) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, gone := range a.spans[pool] {
		if gone.from.Before(s.to) && s.from.Before(gone.to) {
			return true
		}
	}
	return false
}

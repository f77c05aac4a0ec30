package kvevents

import (
	"sync"

	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
)

const maxEvents = 16 // events kept, and therefore the most that one status sends to each watcher

// Recent holds the newest cache events of an engine. Older ones are dropped, as watchers forget them too.
type Recent struct {
	mu     sync.Mutex
	events []runner.CacheEvent
	first  uint64 // position of events[0] among all events ever added
	offset int64  // newest offset seen
}

// New returns a Recent without events.
func New() *Recent { return &Recent{offset: -1} }

// Offset returns the offset of the newest event, -1 before the first.
func (r *Recent) Offset() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.offset
}

// Add appends events, which are in order; those at or below Offset are copies and are skipped.
func (r *Recent) Add(events []runner.CacheEvent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range events {
		if e.Offset <= r.offset {
			continue
		}
		r.offset = e.Offset
		r.events = append(r.events, e)
	}
	if extra := len(r.events) - maxEvents; extra > 0 {
		r.events = append([]runner.CacheEvent(nil), r.events[extra:]...)
		r.first += uint64(extra)
	}
}

// Reset drops all events and accepts any offset again, as after a restart of the engine.
func (r *Recent) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.first += uint64(len(r.events))
	r.events = nil
	r.offset = -1
}

// Since returns the prefixes that entered and left the cache from a position on, by the latest event of each, and the
// position for the next call.
func (r *Recent) Since(position uint64) (cached, evicted []string, next uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	position = max(position, r.first)
	from := min(int(position-r.first), len(r.events))
	events := r.events[from:]
	last := make(map[string]int, len(events))
	for i, e := range events {
		last[e.Prefix] = i
	}
	for i, e := range events {
		switch {
		case last[e.Prefix] != i:
		case e.Evicted:
			evicted = append(evicted, e.Prefix)
		default:
			cached = append(cached, e.Prefix)
		}
	}
	return cached, evicted, position + uint64(len(events))
}

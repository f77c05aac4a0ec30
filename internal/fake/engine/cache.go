package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/faults"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
)

const maxEvents = 4096 // kept for readers

// cache is an LRU cache of prompt prefixes, with a log of its changes.
type cache struct {
	mu       sync.Mutex
	capacity int
	prefixes []string // least recently used first
	events   []timedEvent
	offset   int64
}

// timedEvent is a cache event with the time at which it happened.
type timedEvent struct {
	event runner.CacheEvent
	at    time.Time
}

// use returns how many leading prefixes of a chain were cached, and caches them all.
func (c *cache) use(chain []string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hit := 0
	for _, p := range chain {
		if !slices.Contains(c.prefixes, p) {
			break
		}
		hit++
	}
	for _, p := range chain {
		c.touch(p)
	}
	return hit
}

// touch makes a prefix the most recently used, and evicts the least recently used one of a full cache.
func (c *cache) touch(prefix string) {
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	} else {
		c.addEvent(runner.CacheEvent{Prefix: prefix})
	}
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > c.capacity {
		c.addEvent(runner.CacheEvent{Prefix: c.prefixes[0], Evicted: true})
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
}

// clear drops all prefixes without eviction events, as a crash does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes = nil
}

// addEvent gives an event the next offset and keeps it for readers.
func (c *cache) addEvent(e runner.CacheEvent) {
	c.offset++
	e.Offset = c.offset
	c.events = append(c.events, timedEvent{event: e, at: time.Now()})
	if len(c.events) > maxEvents {
		c.events = slices.Clone(c.events[maxEvents/2:])
	}
}

// eventsAfter returns the events after an offset, except those that the fault delays or hides.
func (c *cache) eventsAfter(offset int64, f faults.Fault) []runner.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var out []runner.CacheEvent
	for _, s := range c.events {
		hidden := f.EventGap > 0 && s.event.Offset%f.EventGap == 0
		if s.event.Offset > offset && now.Sub(s.at) >= f.EventLag && !hidden {
			out = append(out, s.event)
		}
	}
	return out
}

package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/faults"
	"github.com/ragworthatch/ragworthatch/internal/infra/runner"
)

const eventHistory = 4096

// cache holds prompt prefixes, the least recently used go first.
type cache struct {
	mu       sync.Mutex
	capacity int
	prefixes []string // oldest first
	events   []stamped
	offset   int64
}

type stamped struct {
	event runner.CacheEvent
	at    time.Time
}

// use returns how many prefixes of a chain were held, and holds them all.
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

func (c *cache) touch(prefix string) {
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	} else {
		c.add(runner.CacheEvent{Prefix: prefix})
	}
	c.prefixes = append(c.prefixes, prefix)
	if len(c.prefixes) > c.capacity {
		c.add(runner.CacheEvent{Prefix: c.prefixes[0], Evicted: true})
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
}

// clear drops all prefixes without a word, as a crash does.
func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prefixes = nil
}

func (c *cache) add(e runner.CacheEvent) {
	c.offset++
	e.Offset = c.offset
	c.events = append(c.events, stamped{event: e, at: time.Now()})
	if len(c.events) > eventHistory {
		c.events = slices.Clone(c.events[eventHistory/2:])
	}
}

func (c *cache) after(offset int64, f faults.Fault) []runner.CacheEvent {
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

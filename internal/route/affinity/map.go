package affinity

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

const (
	defaultPrefixes = 20_000
	defaultTTL      = 10 * time.Minute
	maxHolders      = 4
)

// Options configure a map; a zero field takes its default.
type Options struct {
	// MaxPrefixes is how many prefixes are remembered, 20,000 by default; the least recently used go first.
	MaxPrefixes int
	// TTL is how long a holder is believed without news, 10 min by default, as the event that it dropped the prefix may be lost.
	TTL time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxPrefixes <= 0 {
		o.MaxPrefixes = defaultPrefixes
	}
	if o.TTL <= 0 {
		o.TTL = defaultTTL
	}
	return o
}

type holding struct {
	prefix string
	names  []string // replaced, never changed, as readers keep it
	seen   []time.Time
}

// Map holds prefixes and their holders; it is safe for concurrent use.
type Map struct {
	opts     Options
	mu       sync.Mutex
	byPrefix map[string]*list.Element
	recent   *list.List // of *holding, the most recently used in front
}

// New returns an empty map.
func New(o Options) *Map {
	return &Map{opts: o.withDefaults(), byPrefix: map[string]*list.Element{}, recent: list.New()}
}

// Holders returns the upstreams that are thought to hold prefix, without allocating; the slice must not be changed.
func (m *Map) Holders(prefix string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.byPrefix[prefix]
	if e == nil {
		return nil
	}
	m.recent.MoveToFront(e)
	return e.Value.(*holding).names
}

// Cached notes that an upstream holds prefix, by a cache event or an answer that used it.
func (m *Map) Cached(prefix, name string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.byPrefix[prefix]
	if e == nil {
		e = m.recent.PushFront(&holding{prefix: prefix})
		m.byPrefix[prefix] = e
		m.trim()
	}
	h := e.Value.(*holding)
	h.expire(now.Add(-m.opts.TTL))
	if i := slices.Index(h.names, name); i >= 0 {
		h.seen[i] = now
		return
	}
	if len(h.names) == maxHolders {
		h.remove(h.oldest())
	}
	h.names = append(slices.Clone(h.names), name)
	h.seen = append(h.seen, now)
}

// Evicted notes that an upstream has dropped prefix, by a cache event or an answer that found nothing cached.
func (m *Map) Evicted(prefix, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.byPrefix[prefix]
	if e == nil {
		return
	}
	h := e.Value.(*holding)
	if i := slices.Index(h.names, name); i >= 0 {
		h.remove(i)
	}
	if len(h.names) == 0 {
		m.recent.Remove(e)
		delete(m.byPrefix, prefix)
	}
}

// Len is the number of prefixes remembered.
func (m *Map) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recent.Len()
}

func (m *Map) trim() {
	if m.recent.Len() <= m.opts.MaxPrefixes {
		return
	}
	last := m.recent.Back()
	m.recent.Remove(last)
	delete(m.byPrefix, last.Value.(*holding).prefix)
}

func (h *holding) expire(before time.Time) {
	for i := len(h.names) - 1; i >= 0; i-- {
		if h.seen[i].Before(before) {
			h.remove(i)
		}
	}
}

func (h *holding) remove(i int) {
	h.names = slices.Concat(h.names[:i], h.names[i+1:])
	h.seen = slices.Delete(h.seen, i, i+1)
}

func (h *holding) oldest() int {
	oldest := 0
	for i, at := range h.seen {
		if at.Before(h.seen[oldest]) {
			oldest = i
		}
	}
	return oldest
}

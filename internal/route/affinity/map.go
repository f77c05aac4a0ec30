package affinity

import (
	"container/list"
	"slices"
	"sync"
	"time"
)

const (
	defaultMaxPrefixes = 20_000
	defaultTTL         = 10 * time.Minute
	maxHolders         = 4 // of one prefix; the one without an event for the longest time is replaced
)

// Options configure a map; a zero field takes its default.
type Options struct {
	// MaxPrefixes is the largest number of prefixes, 20,000 by default; the least recently used is evicted first.
	MaxPrefixes int
	// TTL is the time without an event after which a holder is dropped, 10 min by default, as its eviction event may have
	// been lost.
	TTL time.Duration
}

func (o Options) withDefaults() Options {
	if o.MaxPrefixes <= 0 {
		o.MaxPrefixes = defaultMaxPrefixes
	}
	if o.TTL <= 0 {
		o.TTL = defaultTTL
	}
	return o
}

// entry holds the holders of one prefix.
type entry struct {
	prefix string
	names  []string    // replaced, never modified, as callers of Holders keep it
	seen   []time.Time // last event of each name
}

// Map maps prefixes to their holders; it is safe for concurrent use.
type Map struct {
	opts     Options
	mu       sync.Mutex
	byPrefix map[string]*list.Element
	recent   *list.List // of *entry, the most recently used in front
}

// New returns an empty map.
func New(o Options) *Map {
	return &Map{opts: o.withDefaults(), byPrefix: map[string]*list.Element{}, recent: list.New()}
}

// Holders returns the upstreams that probably hold prefix, without allocating. The slice must not be modified.
func (m *Map) Holders(prefix string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.byPrefix[prefix]
	if e == nil {
		return nil
	}
	m.recent.MoveToFront(e)
	return e.Value.(*entry).names
}

// Cached records that an upstream holds prefix, after a cache event or an answer that used it.
func (m *Map) Cached(prefix, name string, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.byPrefix[prefix]
	if e == nil {
		e = m.recent.PushFront(&entry{prefix: prefix})
		m.byPrefix[prefix] = e
		m.evictOldest()
	}
	h := e.Value.(*entry)
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

// Evicted records that an upstream has dropped prefix, after a cache event or an answer that found nothing cached.
func (m *Map) Evicted(prefix, name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.byPrefix[prefix]
	if e == nil {
		return
	}
	h := e.Value.(*entry)
	if i := slices.Index(h.names, name); i >= 0 {
		h.remove(i)
	}
	if len(h.names) == 0 {
		m.recent.Remove(e)
		delete(m.byPrefix, prefix)
	}
}

// Len returns the number of prefixes.
func (m *Map) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recent.Len()
}

// evictOldest drops the least recently used prefix if there are more than MaxPrefixes. The caller holds mu.
func (m *Map) evictOldest() {
	if m.recent.Len() <= m.opts.MaxPrefixes {
		return
	}
	last := m.recent.Back()
	m.recent.Remove(last)
	delete(m.byPrefix, last.Value.(*entry).prefix)
}

// expire removes the holders whose last event was before the given time.
func (h *entry) expire(before time.Time) {
	for i := len(h.names) - 1; i >= 0; i-- {
		if h.seen[i].Before(before) {
			h.remove(i)
		}
	}
}

// remove removes the holder at index i.
func (h *entry) remove(i int) {
	h.names = slices.Concat(h.names[:i], h.names[i+1:])
	h.seen = slices.Delete(h.seen, i, i+1)
}

// oldest returns the index of the holder without an event for the longest time.
func (h *entry) oldest() int {
	oldest := 0
	for i, at := range h.seen {
		if at.Before(h.seen[oldest]) {
			oldest = i
		}
	}
	return oldest
}

package hosts

import (
	"cmp"
	"slices"
	"time"
)

// State says whether an upstream takes new work.
type State string

// The states of upstreams.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Upstream is one lifetime of a back end.
type Upstream struct {
	ID      string // names the lifetime
	Pool    string
	Address string // IP:port, which another upstream may get later
	Zone    string
	State   State
	Slots   int
	Born    int64 // Unix time of the start in ms; 0 if it does not say
}

// Table is the set of upstreams at one moment; it does not change once made.
type Table struct {
	read   time.Time
	byID   map[string]Upstream
	byPool map[string][]Upstream
}

// New returns a table of the upstreams as they were read at a time.
func New(upstreams []Upstream, read time.Time) *Table {
	t := &Table{read: read, byID: make(map[string]Upstream, len(upstreams)), byPool: map[string][]Upstream{}}
	for _, u := range upstreams {
		t.byID[u.ID] = u
	}
	for _, u := range t.byID {
		if u.State == Ready {
			t.byPool[u.Pool] = append(t.byPool[u.Pool], u)
		}
	}
	for _, list := range t.byPool {
		slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return t
}

// Read is when the table was read from the platform.
func (t *Table) Read() time.Time { return t.read }

// Ready lists the upstreams of a pool that take new work, by ID; it must not be changed.
func (t *Table) Ready(pool string) []Upstream { return t.byPool[pool] }

// Get returns an upstream by ID, also one that is draining.
func (t *Table) Get(id string) (Upstream, bool) {
	u, ok := t.byID[id]
	return u, ok
}

// TakesWork says whether an upstream is known and ready.
func (t *Table) TakesWork(id string) bool { return t.byID[id].State == Ready }

// All lists all upstreams by ID.
func (t *Table) All() []Upstream {
	out := make([]Upstream, 0, len(t.byID))
	for _, u := range t.byID {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

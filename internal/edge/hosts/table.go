package hosts

import (
	"cmp"
	"maps"
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
	ID        string // names the lifetime
	Pool      string
	Address   string // IP:port, which another upstream may get later
	Zone      string
	State     State
	Slots     int
	StartedMs int64 // Unix time of the start in ms; 0 if it does not say
}

// Lifetime names one run of a back end; its ID alone may be used again.
type Lifetime struct {
	ID        string
	StartedMs int64 // Unix time of the start in ms; 0 if it does not say
}

// Lifetime names the run of the back end that the upstream is.
func (u Upstream) Lifetime() Lifetime { return Lifetime{ID: u.ID, StartedMs: u.StartedMs} }

// Table is the set of upstreams at one moment; it does not change once made.
type Table struct {
	read    time.Time
	version int64
	byID    map[string]Upstream
	byPool  map[string][]Upstream
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

// Version changes with the upstreams, and is of meaning only in the process that set it.
func (t *Table) Version() int64 { return t.version }

// WithRead returns a table of the same upstreams as read at another time.
func (t *Table) WithRead(read time.Time) *Table {
	out := *t
	out.read = read
	return &out
}

// WithVersion returns a table of the same upstreams with another version.
func (t *Table) WithVersion(version int64) *Table {
	out := *t
	out.version = version
	return &out
}

// WithLeaving returns a table in which the lifetimes that leave take no new work, whatever the platform says of them.
func (t *Table) WithLeaving(leaves func(Lifetime) bool) *Table {
	all := t.All()
	changed := false
	for i, u := range all {
		if u.State == Ready && leaves(u.Lifetime()) {
			all[i].State, changed = Draining, true
		}
	}
	if !changed {
		return t
	}
	return New(all, t.read).WithVersion(t.version)
}

// Same says whether two tables hold the same upstreams.
func (t *Table) Same(other *Table) bool { return maps.Equal(t.byID, other.byID) }

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

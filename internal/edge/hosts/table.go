package hosts

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State says whether an upstream accepts new work.
type State string

// The states of upstreams.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Upstream is one lifetime of a back end, from its start to its end.
type Upstream struct {
	ID        string // may be used again by a later lifetime
	Pool      string
	Address   string // IP:port, which another upstream may get later
	Zone      string
	Version   string // of its software; several may serve a pool side by side
	State     State
	Slots     int
	StartedMs int64 // Unix time of the start in ms; 0 if unknown

	ColdUntilMs int64 // Unix time in ms until which it accepts only a few requests; 0 if it is not known to be cold
}

// Lifetime identifies one run of a back end; its ID alone may be used again.
type Lifetime struct {
	ID        string
	StartedMs int64 // Unix time of the start in ms; 0 if unknown
}

// Lifetime identifies the run of the back end that the upstream is.
func (u Upstream) Lifetime() Lifetime { return Lifetime{ID: u.ID, StartedMs: u.StartedMs} }

// Table is an immutable snapshot of the upstreams.
type Table struct {
	read    time.Time
	version int64
	byID    map[string]Upstream
	byPool  map[string][]Upstream // those that take work, sorted by ID

	evacuated []string              // zones whose upstreams take no work, sorted
	withheld  map[string][]Upstream // by pool, those that take no work for that reason only, sorted by ID
}

// New returns a table of the upstreams that the platform was asked for at the given time.
func New(upstreams []Upstream, read time.Time) *Table {
	t := &Table{read: read, byID: make(map[string]Upstream, len(upstreams))}
	for _, u := range upstreams {
		t.byID[u.ID] = u
	}
	t.indexPools()
	return t
}

// indexPools lists the upstreams of each pool that take work, and those that are withheld.
func (t *Table) indexPools() {
	t.byPool, t.withheld = map[string][]Upstream{}, map[string][]Upstream{}
	for _, u := range t.byID {
		switch {
		case t.takesWork(u):
			t.byPool[u.Pool] = append(t.byPool[u.Pool], u)
		case u.State == Ready:
			t.withheld[u.Pool] = append(t.withheld[u.Pool], u)
		}
	}
	for _, lists := range []map[string][]Upstream{t.byPool, t.withheld} {
		for _, list := range lists {
			slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
		}
	}
}

func (t *Table) takesWork(u Upstream) bool { return u.State == Ready && !t.IsEvacuated(u.Zone) }

// Read is when the platform was asked for the table: it has all that was listed then.
func (t *Table) Read() time.Time { return t.read }

// Version changes with the upstreams; it can be compared only within the process that set it.
func (t *Table) Version() int64 { return t.version }

// WithRead returns a copy of the table with another time of reading.
func (t *Table) WithRead(read time.Time) *Table {
	out := *t
	out.read = read
	return &out
}

// WithVersion returns a copy of the table with another version.
func (t *Table) WithVersion(version int64) *Table {
	out := *t
	out.version = version
	return &out
}

// WithLeaving returns a table in which the upstreams whose lifetime is known to shut down are draining, even if the
// platform lists them as ready.
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
	return New(all, t.read).WithVersion(t.version).WithEvacuated(t.evacuated)
}

// WithCold returns a table in which upstreams are cold until the later of the Unix times that the table and until name for
// them, in ms.
func (t *Table) WithCold(until func(Upstream) int64) *Table {
	all := t.All()
	changed := false
	for i, u := range all {
		if at := until(u); at > u.ColdUntilMs {
			all[i].ColdUntilMs, changed = at, true
		}
	}
	if !changed {
		return t
	}
	return New(all, t.read).WithVersion(t.version).WithEvacuated(t.evacuated)
}

// WithEvacuated returns a table in which exactly the given zones, which are sorted, are evacuated. Their upstreams stay
// listed, as what runs there goes on and results that they hold can be read.
func (t *Table) WithEvacuated(zones []string) *Table {
	if slices.Equal(zones, t.evacuated) {
		return t
	}
	out := *t
	out.evacuated = zones
	out.indexPools()
	return &out
}

// IsEvacuated reports whether the upstreams of a zone get no requests.
func (t *Table) IsEvacuated(zone string) bool { return slices.Contains(t.evacuated, zone) }

// Evacuated lists the evacuated zones, sorted. The list must not be changed.
func (t *Table) Evacuated() []string { return t.evacuated }

// Withheld lists the upstreams of a pool that would take work if their zone were not evacuated, sorted by ID. The list
// must not be changed.
func (t *Table) Withheld(pool string) []Upstream { return t.withheld[pool] }

// IsWithheld reports whether the pool has ready upstreams, but all are in evacuated zones.
func (t *Table) IsWithheld(pool string) bool {
	return len(t.byPool[pool]) == 0 && len(t.withheld[pool]) > 0
}

// Same reports whether two tables hold the same upstreams.
func (t *Table) Same(other *Table) bool { return maps.Equal(t.byID, other.byID) }

// Ready lists the upstreams of a pool that accept new work and whose zone is not evacuated, sorted by ID. The list must not be changed.
func (t *Table) Ready(pool string) []Upstream { return t.byPool[pool] }

// Get returns an upstream by ID, ready or draining.
func (t *Table) Get(id string) (Upstream, bool) {
	u, ok := t.byID[id]
	return u, ok
}

// Versions counts the upstreams of a pool, ready or draining, by the version of their software.
func (t *Table) Versions(pool string) map[string]int {
	counts := map[string]int{}
	for _, u := range t.byID {
		if u.Pool == pool {
			counts[u.Version]++
		}
	}
	return counts
}

// TakesWork reports whether an upstream is listed and ready and its zone is not evacuated.
func (t *Table) TakesWork(id string) bool {
	u, listed := t.byID[id]
	return listed && t.takesWork(u)
}

// All lists all upstreams, sorted by ID.
func (t *Table) All() []Upstream {
	out := make([]Upstream, 0, len(t.byID))
	for _, u := range t.byID {
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

package member

import (
	"cmp"
	"slices"
	"time"
)

// minLiveFraction is the fraction of a pool that must be live for suspects to be left out.
const minLiveFraction = 0.5

// View is an immutable snapshot of the table.
type View struct {
	At      time.Time             `json:"at"`
	ListAt  time.Time             `json:"listAt"` // last reply of the host list
	Held    int                   `json:"held"`   // hosts missing from the list whose absence is held back
	Pools   map[string][]Upstream `json:"pools"`  // by name of the pool; each sorted by name
	Entries []Upstream            `json:"entries"`
	byName  map[string]*Upstream  // into Pools and Entries
}

// View returns the state of every known host at time now.
func (t *Table) View(now time.Time) View {
	v := View{
		At: now, ListAt: t.listAt, Held: t.heldCount,
		Pools:  map[string][]Upstream{},
		byName: make(map[string]*Upstream, len(t.rows)),
	}
	for _, r := range t.rows {
		u := r.view(now, t.options)
		if u.Pool == "" {
			v.Entries = append(v.Entries, u)
		} else {
			v.Pools[u.Pool] = append(v.Pools[u.Pool], u)
		}
	}
	v.index(v.Entries)
	for _, list := range v.Pools {
		v.index(list)
	}
	return v
}

// index sorts a list of Pools or Entries by name and adds it to byName.
func (v View) index(list []Upstream) {
	slices.SortFunc(list, byName)
	for i := range list {
		v.byName[list[i].Name] = &list[i]
	}
}

func byName(a, b Upstream) int { return cmp.Compare(a.Name, b.Name) }

// Upstream returns one host by name.
func (v View) Upstream(name string) (Upstream, bool) {
	u, ok := v.byName[name]
	if !ok {
		return Upstream{}, false
	}
	return *u, true
}

// Usable returns the upstreams of a pool that may get new work: the live ones, and the suspects too when fewer than
// half of the pool is live, as the fault is then more likely in this process.
func (v View) Usable(pool string) []Upstream {
	var live, both []Upstream
	for _, u := range v.Pools[pool] {
		switch u.State {
		case Live:
			live = append(live, u)
			both = append(both, u)
		case Suspect:
			both = append(both, u)
		}
	}
	if float64(len(live)) < minLiveFraction*float64(len(both)) {
		return both
	}
	return live
}

// Change is a host whose state differs between two views.
type Change struct {
	Upstream Upstream
	Before   State // empty for a new host
}

// Changes returns the hosts whose state differs from the one in an older view, sorted by name. Hosts that only the
// older view contains are returned as Gone.
func (v View) Changes(old View) []Change {
	var out []Change
	for name, u := range v.byName {
		before, _ := old.Upstream(name)
		if before.State != u.State {
			out = append(out, Change{Upstream: *u, Before: before.State})
		}
	}
	for name, u := range old.byName {
		if _, ok := v.byName[name]; !ok && u.State != Gone {
			gone := *u
			gone.State = Gone
			out = append(out, Change{Upstream: gone, Before: u.State})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return byName(a.Upstream, b.Upstream) })
	return out
}

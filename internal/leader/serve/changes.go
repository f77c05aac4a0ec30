package serve

import (
	"sync"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// keepTables is how many of the newest lists are kept, for entries that have one of them.
const keepTables = 16

// changes works out what differs between two lists of upstreams, once for all entries that have the same one. A table's
// version names its upstreams.
type changes struct {
	mu       sync.Mutex
	kept     []*hosts.Table // the newest last
	from, to int64
	newest   *cellpb.Hosts
}

// keep remembers a list that entries may be told.
func (c *changes) keep(t *hosts.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.kept); n > 0 && c.kept[n-1].Version() == t.Version() {
		return
	}
	if c.kept = append(c.kept, t); len(c.kept) > keepTables {
		c.kept = append(c.kept[:0], c.kept[1:]...)
	}
}

// table is a list that was kept; nil if it is not known any more.
func (c *changes) table(version int64) *hosts.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.kept {
		if t.Version() == version {
			return t
		}
	}
	return nil
}

// between is what an entry has to be told that has a list.
func (c *changes) between(known, now *hosts.Table) *cellpb.Hosts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest == nil || c.from != known.Version() || c.to != now.Version() {
		c.from, c.to, c.newest = known.Version(), now.Version(), difference(known, now)
	}
	return c.newest
}

func difference(known, now *hosts.Table) *cellpb.Hosts {
	m := &cellpb.Hosts{Version: now.Version(), Base: known.Version()}
	for _, u := range known.All() {
		if _, still := now.Get(u.ID); !still {
			m.Gone = append(m.Gone, u.ID)
		}
	}
	for _, u := range now.All() {
		if before, ok := known.Get(u.ID); !ok || before != u {
			m.Upstreams = append(m.Upstreams, upstreamMessage(u))
		}
	}
	return m
}

// wholeList is a list for an entry that has none.
func wholeList(t *hosts.Table) *cellpb.Hosts {
	m := &cellpb.Hosts{Version: t.Version()}
	for _, u := range t.All() {
		m.Upstreams = append(m.Upstreams, upstreamMessage(u))
	}
	return m
}

func upstreamMessage(u hosts.Upstream) *cellpb.Upstream {
	return &cellpb.Upstream{
		Id: u.ID, Pool: u.Pool, Address: u.Address, Zone: u.Zone, State: string(u.State), Slots: int32(u.Slots), Born: u.StartedMs,
	}
}

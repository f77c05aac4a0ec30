package serve

import (
	"sync"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// changes works out what differs between two lists of upstreams, once for all entries that have the same one.
type changes struct {
	mu       sync.Mutex
	from, to int64
	newest   *cellpb.Hosts
}

// between is what an entry has to be told that knows a list, nil for none. A table's version names its upstreams.
func (c *changes) between(known, now *hosts.Table) *cellpb.Hosts {
	c.mu.Lock()
	defer c.mu.Unlock()
	var from int64
	if known != nil {
		from = known.Version()
	}
	if c.newest == nil || c.from != from || c.to != now.Version() {
		c.from, c.to, c.newest = from, now.Version(), difference(known, now)
	}
	return c.newest
}

func difference(known, now *hosts.Table) *cellpb.Hosts {
	m := &cellpb.Hosts{Version: now.Version()}
	if known != nil {
		m.Base = known.Version()
		for _, u := range known.All() {
			if _, still := now.Get(u.ID); !still {
				m.Gone = append(m.Gone, u.ID)
			}
		}
	}
	for _, u := range now.All() {
		if known != nil {
			if before, ok := known.Get(u.ID); ok && before == u {
				continue
			}
		}
		m.Upstreams = append(m.Upstreams, &cellpb.Upstream{
			Id: u.ID, Pool: u.Pool, Address: u.Address, Zone: u.Zone, State: string(u.State), Slots: int32(u.Slots), Born: u.Born,
		})
	}
	return m
}

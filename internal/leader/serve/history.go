package serve

import (
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// maxKeptTables is the number of newest lists that are kept, as entries may have one of them.
const maxKeptTables = 16

// unknownTable is the version of a list that no entry has.
const unknownTable = -1

// tableHistory keeps the newest lists of upstreams and computes the changes between two of them, once for all entries
// that have the same list. Tables of the same version hold the same upstreams.
type tableHistory struct {
	mu       sync.Mutex
	kept     []*hosts.Table // the newest last
	from, to int64          // versions between which message holds the changes
	message  *cellpb.Hosts  // last computed changes; nil if none
}

// add keeps a list that may be sent to entries.
func (c *tableHistory) add(t *hosts.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.kept); n > 0 && c.kept[n-1].Version() == t.Version() {
		return
	}
	if c.kept = append(c.kept, t); len(c.kept) > maxKeptTables {
		c.kept = append(c.kept[:0], c.kept[1:]...)
	}
}

// get returns a list by its version; nil if it is not kept any more.
func (c *tableHistory) get(version int64) *hosts.Table {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.kept {
		if t.Version() == version {
			return t
		}
	}
	return nil
}

// changes returns the message that brings an entry from the list that it has to the present one.
func (c *tableHistory) changes(known, now *hosts.Table, at time.Time) *cellpb.Hosts {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.message == nil || c.from != known.Version() || c.to != now.Version() {
		c.from, c.to, c.message = known.Version(), now.Version(), diffTables(known, now, at)
	}
	return c.message
}

// diffTables returns the changes from the list known to the list now, at a time from which terms count.
func diffTables(known, now *hosts.Table, at time.Time) *cellpb.Hosts {
	m := &cellpb.Hosts{Version: now.Version(), Base: known.Version()}
	for _, u := range known.All() {
		if _, still := now.Get(u.ID); !still {
			m.Gone = append(m.Gone, u.ID)
		}
	}
	for _, u := range now.All() {
		if before, ok := known.Get(u.ID); !ok || before != u {
			m.Upstreams = append(m.Upstreams, upstreamMessage(u, at))
		}
	}
	return m
}

// tableMessage returns a whole list, for an entry that has none, at a time from which terms count.
func tableMessage(t *hosts.Table, at time.Time) *cellpb.Hosts {
	m := &cellpb.Hosts{Version: t.Version()}
	for _, u := range t.All() {
		m.Upstreams = append(m.Upstreams, upstreamMessage(u, at))
	}
	return m
}

func upstreamMessage(u hosts.Upstream, at time.Time) *cellpb.Upstream {
	m := &cellpb.Upstream{
		Id: u.ID, Pool: u.Pool, Address: u.Address, Zone: u.Zone, State: string(u.State), Slots: int32(u.Slots),
		Born: u.StartedMs, Version: u.Version,
	}
	if left := u.ColdUntilMs - at.UnixMilli(); left > 0 {
		m.ColdLeftUs = left * 1000
	}
	return m
}

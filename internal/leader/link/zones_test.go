package link_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/internal/leader/link"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
)

// Entries that follow a leader do not read the records of zones themselves, and a leader that has just started may lack a
// record that the store has lost.
func TestZonesPassBetweenEntryAndLeader(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "leader", newFake("leader", false))
	known := []zones.Record{{Zone: "a", Evacuated: true, Offset: 4}}
	p.zones.Store(zones.New().WithRecords(known).WithEnd(0, 9))
	own := zones.New().WithRecords([]zones.Record{{Zone: "b", Evacuated: true, Offset: 3}})
	var told atomic.Pointer[watch.Revision]
	l := link.New(link.Options{
		Self: "self", Local: newFake("local", false), MembersRead: func() bool { return false },
		Members:     func() []registry.Member { return []registry.Member{p.Member, {Host: "self"}} },
		MemberCount: func() int { return 2 }, Leaving: func() bool { return false }, Crash: newTracker(), Limits: newLimits(),
		Origins: newOrigins(), LacksRules: func(watch.Revision) bool { return false },
		Notices: func() []notices.Notice { return nil }, ConfirmMembers: func(registry.View) {},
		ObserveEra: func(int64) {}, ListReadAt: func() time.Time { return listReadAt },
		Zones:   func() *zones.Set { return own },
		Confirm: func(r watch.Revision, _ *hosts.Table) { told.CompareAndSwap(nil, &r) }, Now: time.Now, Log: zap.NewNop(),
	})
	runLink(c, l)
	eventually(c, func() bool { return told.Load() != nil })
	r := told.Load()
	c.Check(r.Zones, qt.DeepEquals, known)
	c.Check([]any{r.LacksZones, r.ZonesEra, r.ZonesEnd}, qt.DeepEquals, []any{false, int64(0), int64(9)})
	eventually(c, func() bool { return len(p.zones.Load().Evacuated()) == 2 })
}

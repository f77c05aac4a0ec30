package serve

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
)

// table returns a table of n upstreams, numbered from first; every tenth one is draining.
func table(version int64, first, n int) *hosts.Table {
	var all []hosts.Upstream
	for i := first; i < first+n; i++ {
		u := hosts.Upstream{ID: fmt.Sprintf("u%d", i), Pool: "p", State: hosts.Ready, StartedMs: int64(i)}
		if i%10 == 0 {
			u.State = hosts.Draining
		}
		all = append(all, u)
	}
	return hosts.New(all, time.Time{}).WithVersion(version)
}

func TestOnlyChangesOfAListAreSent(t *testing.T) {
	c := qt.New(t)
	var ch tableHistory
	before, now := table(1, 0, 100), table(2, 2, 100)
	c.Check(tableMessage(before, time.Now()).Upstreams, qt.HasLen, 100)
	d := ch.changes(before, now, time.Now())
	c.Check([]any{d.Base, d.Version, d.Gone}, qt.DeepEquals, []any{int64(1), int64(2), []string{"u0", "u1"}})
	c.Check(d.Upstreams, qt.HasLen, 2)
	c.Check(ch.changes(before, now, time.Now()), qt.Equals, d, qt.Commentf("computed once for all entries"))
}

func TestNewestListsAreKept(t *testing.T) {
	c := qt.New(t)
	var ch tableHistory
	for v := range int64(40) {
		ch.add(table(1+v/2, 0, 1))
	}
	c.Check(ch.get(20).Version(), qt.Equals, int64(20))
	c.Check(ch.get(5).Version(), qt.Equals, int64(5))
	c.Check(ch.get(4) == nil, qt.IsTrue)
}

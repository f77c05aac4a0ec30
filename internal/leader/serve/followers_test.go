package serve

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// Guards against two leaders that both count an entry as their own: the connection of one that follows another leader, or
// that is cut off, stays open for seconds.
func TestEntriesThatLeftOrAreSilentAreNoFollowers(t *testing.T) {
	c := qt.New(t)
	ses := newSession(nopDispatcher{}, func() Rules { return Rules{} }, func() *hosts.Table { return hosts.New(nil, time.Time{}) })
	now := time.Now()
	ses.Server.now = func() time.Time { return now }
	ses.sessions.Store(ses, nil)
	c.Check(ses.Followers(), qt.Equals, 0)
	heard := now
	ses.heardAt.Store(&heard)
	c.Check(ses.Followers(), qt.Equals, 1)
	now = now.Add(followerSilence)
	c.Check(ses.Followers(), qt.Equals, 0)
	heardAgain := now
	ses.heardAt.Store(&heardAgain)
	c.Check(ses.Followers(), qt.Equals, 1)
	ses.handle(&cellpb.ToLead{Body: &cellpb.ToLead_Running{Running: &cellpb.Running{Leaves: true}}})
	c.Check(ses.Followers(), qt.Equals, 0)
}

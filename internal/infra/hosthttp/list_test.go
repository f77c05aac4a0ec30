package hosthttp_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/httpd"
	"github.com/ragworthatch/ragworthatch/internal/fake/roster"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosthttp"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosts"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
)

// TestUnchangedListIsNotSentAgain checks that reading an unchanged list again transfers nothing, and that a changed
// list is transferred.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	fake := roster.New(0)
	fake.Put(host.Host{Name: "a"})
	server, err := httpd.New("127.0.0.1:0", httpd.Hosts(fake))
	c.Assert(err, qt.IsNil)
	defer server.Down()
	list := hosthttp.New(server.Address())
	read := func() int {
		got, err := list.Hosts(context.Background())
		c.Assert(err, qt.IsNil)
		return len(got)
	}
	c.Check(read(), qt.Equals, 1)
	c.Check(list.LastBytes() > 0, qt.IsTrue)
	c.Check(read(), qt.Equals, 1)
	c.Check(list.LastBytes(), qt.Equals, 0)
	fake.Put(host.Host{Name: "b"})
	c.Check(read(), qt.Equals, 2)
	c.Check(list.LastBytes() > 0, qt.IsTrue)
}

// sizedList is a list whose last answer had a given size.
type sizedList struct {
	hosts.List
	bytes int
}

func (h sizedList) LastBytes() int { return h.bytes }

// TestLargeListIsReadLessOften checks that a list of today's size is read at the base interval, and that a list of the
// target size costs at most 2,000 bytes a second.
func TestLargeListIsReadLessOften(t *testing.T) {
	c := qt.New(t)
	for bytes, want := range map[int]time.Duration{
		0: 2 * time.Second, 7080: 2 * time.Second, 40_000: 20 * time.Second, 120_000: time.Minute,
	} {
		c.Check(hosts.Interval(sizedList{bytes: bytes}, 2*time.Second), qt.Equals, want)
	}
	c.Check(hosts.Interval(roster.New(0), 2*time.Second), qt.Equals, 2*time.Second)
}

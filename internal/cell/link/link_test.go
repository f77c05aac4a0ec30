package link_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/cell/board"
	"github.com/ragworthatch/ragworthatch/internal/cell/crew"
	"github.com/ragworthatch/ragworthatch/internal/cell/lead"
	"github.com/ragworthatch/ragworthatch/internal/cell/link"
	"github.com/ragworthatch/ragworthatch/internal/cell/serve"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// fakeDesk decides at once, or never when it is mute.
type fakeDesk struct {
	name string
	mute bool
	mu   sync.Mutex
	open map[string]bool
}

func (d *fakeDesk) Submit(o lead.Order, reply func(lead.Decision)) {
	d.mu.Lock()
	d.open[o.Job.ID] = true
	d.mu.Unlock()
	if !d.mute {
		reply(lead.Decision{Upstream: d.name})
	}
}
func (d *fakeDesk) Again(_, _ string, _ lead.Problem, reply func(lead.Decision)) {
	reply(lead.Decision{Upstream: d.name + " again"})
}
func (d *fakeDesk) FirstByte(string, bool) {}
func (d *fakeDesk) Crashed(uint64)         {}
func (d *fakeDesk) Ended(id, _ string, _ bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, id)
}

func (d *fakeDesk) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

func newDesk(name string, mute bool) *fakeDesk {
	return &fakeDesk{name: name, mute: mute, open: map[string]bool{}}
}

// leader serves a desk and returns its member record.
func leader(c *qt.C, desk lead.Desk, leads bool) (crew.Member, *grpc.Server) {
	listener, err := ports.Listen()
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	cellpb.RegisterCellServer(server, serve.New(serve.Options{
		Desk: desk, Leaving: func() bool { return false }, Leads: func() bool { return leads },
		Blocked: func() []uint64 { return nil }, Rules: func() serve.Rules { return serve.Rules{} },
		Hosts: func() *hosts.Table { return hosts.New(nil, time.Now()) }, Now: time.Now, Log: zap.NewNop(),
	}))
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(server.Stop)
	return crew.Member{Host: "leader", Address: listener.Addr().String()}, server
}

func start(c *qt.C, local lead.Desk, first crew.Member) *link.Link {
	return startAmong(c, local, func() []crew.Member { return []crew.Member{first, {Host: "self"}} })
}

func startAmong(c *qt.C, local lead.Desk, members func() []crew.Member) *link.Link {
	l := link.New(link.Options{
		Self: "self", Local: local, Members: members,
		Leaving: func() bool { return false }, Blocked: func([]uint64) {}, Adopt: func([]byte) {},
		Confirm: func(int64, time.Time, *hosts.Table) {}, Now: time.Now, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go l.Run(ctx)
	return l
}

func eventually(c *qt.C, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatal("not reached in time")
}

func ask(l *link.Link, id string) chan lead.Decision {
	got := make(chan lead.Decision, 2)
	l.Submit(lead.Order{Job: board.Job{ID: id, Deadline: time.Now().Add(time.Minute)}}, func(d lead.Decision) { got <- d })
	return got
}

func TestOrdersGoToTheLeader(t *testing.T) {
	c := qt.New(t)
	remote := newDesk("remote", false)
	member, _ := leader(c, remote, true)
	l := start(c, newDesk("local", false), member)
	eventually(c, func() bool { return !l.Leads() })
	c.Check((<-ask(l, "1")).Upstream, qt.Equals, "remote")
	l.Ended("1", "", false)
	eventually(c, func() bool { return remote.count() == 0 })
}

func TestUndecidedOrdersOutliveTheLeader(t *testing.T) {
	c := qt.New(t)
	member, server := leader(c, newDesk("remote", true), true)
	l := start(c, newDesk("local", false), member)
	eventually(c, func() bool { return !l.Leads() })
	got := ask(l, "1")
	time.Sleep(50 * time.Millisecond)
	server.Stop()
	c.Check((<-got).Upstream, qt.Equals, "local")
	c.Check(l.Leads(), qt.IsTrue)
}

// A leader that was replaced goes on with its orders; if it ends before it has decided, they go to the present one.
func TestUndecidedOrdersOutliveAReplacedLeader(t *testing.T) {
	c := qt.New(t)
	first, server := leader(c, newDesk("first", true), true)
	second, _ := leader(c, newDesk("second", false), true)
	second.Host = "second"
	var replaced atomic.Bool
	l := startAmong(c, newDesk("local", false), func() []crew.Member {
		if replaced.Load() {
			return []crew.Member{second, first, {Host: "self"}}
		}
		return []crew.Member{first, second, {Host: "self"}}
	})
	eventually(c, func() bool { return !l.Leads() })
	got := ask(l, "1")
	replaced.Store(true)
	eventually(c, func() bool {
		defer l.Ended("2", "", false)
		select {
		case d := <-ask(l, "2"):
			return d.Upstream == "second"
		case <-time.After(100 * time.Millisecond):
			return false
		}
	})
	time.Sleep(time.Second)
	c.Check(got, qt.HasLen, 0, qt.Commentf("a replaced leader that answers pings keeps its orders"))
	server.Stop()
	select {
	case d := <-got:
		c.Check(d.Upstream, qt.Equals, "second")
	case <-time.After(5 * time.Second):
		c.Fatal("the order is lost")
	}
}

func TestLeadersThatFollowAnotherAreLeft(t *testing.T) {
	c := qt.New(t)
	member, _ := leader(c, newDesk("remote", false), false)
	l := start(c, newDesk("local", false), member)
	eventually(c, func() bool { return !l.Leads() })
	eventually(c, func() bool { return l.Leads() })
	c.Check((<-ask(l, "1")).Upstream, qt.Equals, "local")
}

func TestEntriesThatGoAwayEndTheirOrders(t *testing.T) {
	c := qt.New(t)
	remote := newDesk("remote", true)
	member, _ := leader(c, remote, true)
	ctx, cancel := context.WithCancel(context.Background())
	l := link.New(link.Options{
		Self: "self", Local: newDesk("local", false), Members: func() []crew.Member { return []crew.Member{member} },
		Leaving: func() bool { return false }, Blocked: func([]uint64) {}, Adopt: func([]byte) {},
		Confirm: func(int64, time.Time, *hosts.Table) {}, Now: time.Now, Log: zap.NewNop(),
	})
	go l.Run(ctx)
	eventually(c, func() bool { return !l.Leads() })
	ask(l, "1")
	eventually(c, func() bool { return remote.count() == 1 })
	cancel()
	l.Close()
	eventually(c, func() bool { return remote.count() == 0 })
}

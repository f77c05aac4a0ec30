package link_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
	"github.com/ragworthatch/ragworthatch/internal/fake/proxy"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/link"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/leader/serve"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// fakeDesk decides at once, or never when it is mute.
type fakeDesk struct {
	name    string
	mute    bool
	replies map[string]func(lead.Decision)
	mu      sync.Mutex
	open    map[string]bool

	handsOver bool             // at a recall
	progress  []sched.Progress // of the newest order
}

func (d *fakeDesk) Submit(o lead.Order, reply func(lead.Decision)) {
	d.mu.Lock()
	d.open[o.Job.ID] = true
	d.replies[o.Job.ID] = reply
	d.progress = o.Job.Progress
	d.mu.Unlock()
	if !d.mute {
		reply(lead.Decision{Upstream: d.name})
	}
}
func (d *fakeDesk) Retry(_, _ string, _ lead.Problem, reply func(lead.Decision)) {
	reply(lead.Decision{Upstream: d.name + " again"})
}
func (d *fakeDesk) FirstByte(string, bool) {}
func (d *fakeDesk) Recall(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.handsOver {
		return
	}
	delete(d.open, id)
	d.replies[id](lead.Decision{Moved: true, Progress: []sched.Progress{{Done: true, Results: []sched.Held{{Handle: "h", Maker: "m", Left: time.Second}}}}})
}
func (d *fakeDesk) Crashed(uint64, string, time.Time)     {}
func (d *fakeDesk) Served(uint64)                         {}
func (d *fakeDesk) UpstreamNotice(string, notices.Notice) {}
func (d *fakeDesk) Ended(id, _ string, _ bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, id)
}

// tell sends a decision on an order that is open.
func (d *fakeDesk) tell(id string, decision lead.Decision) {
	d.mu.Lock()
	reply := d.replies[id]
	d.mu.Unlock()
	reply(decision)
}

func (d *fakeDesk) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

func newDesk(name string, mute bool) *fakeDesk {
	return &fakeDesk{name: name, mute: mute, open: map[string]bool{}, replies: map[string]func(lead.Decision){}}
}

// peer is another entry.
type peer struct {
	registry.Member
	server *grpc.Server
	leader atomic.Pointer[registry.Member] // whom it follows
	born   int64                           // of the process
	hellos atomic.Int64
}

// newPeer serves a desk.
func newPeer(c *qt.C, host string, desk lead.Decider) *peer {
	listener, err := ports.Listen()
	c.Assert(err, qt.IsNil)
	p := &peer{Member: registry.Member{Host: host, Address: listener.Addr().String(), Born: 1}, server: grpc.NewServer(), born: 1}
	log := zap.New(hook(func() { p.hellos.Add(1) }))
	cellpb.RegisterCellServer(p.server, serve.New(serve.Options{
		Dispatcher: desk, Born: p.born, Leaving: func() bool { return false }, Leader: func() (registry.Member, bool) {
			if m := p.leader.Load(); m != nil {
				return *m, true
			}
			return registry.Member{}, false
		},
		Blocked: func() []uint64 { return nil }, Rules: func() serve.Rules { return serve.Rules{} },
		Hosts: func() *hosts.Table { return hosts.New(nil, time.Now()) }, Crew: func() registry.View { return registry.View{} }, Now: time.Now, Log: log,
	}))
	go func() { _ = p.server.Serve(listener) }()
	c.Cleanup(p.server.Stop)
	return p
}

// hook calls f for each line that is logged.
func hook(f func()) zapcore.Core {
	return zapcore.RegisterHooks(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zapcore.InfoLevel),
		func(zapcore.Entry) error { f(); return nil })
}

func start(c *qt.C, local lead.Decider, first registry.Member) *link.Link {
	return startAmong(c, local, func() []registry.Member { return []registry.Member{first, {Host: "self"}} })
}

func startAmong(c *qt.C, local lead.Decider, members func() []registry.Member) *link.Link {
	l := newLink(local, members, func() bool { return false })
	runLink(c, l)
	return l
}

func runLink(c *qt.C, l *link.Link) {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go l.Run(ctx)
}

func newLink(local lead.Decider, members func() []registry.Member, hasRead func() bool) *link.Link {
	return link.New(link.Options{
		Self: "self", Local: local, Members: members, MembersRead: hasRead, MemberCount: func() int { return 2 },
		Leaving: func() bool { return false }, SetBlocked: func([]uint64) {}, AdoptRules: func(int64, []byte) {}, LacksRules: func(watch.Sighting) bool { return false },
		Notices: func() []notices.Notice { return nil }, ConfirmMembers: func(registry.View) {}, RulesVersion: func() int64 { return 0 },
		Confirm: func(watch.Sighting, *hosts.Table) {}, Now: time.Now, Log: zap.NewNop(),
	})
}

// startBehind returns a link that follows first, and second once replaced is set.
func startBehind(c *qt.C, first, second *peer) (l *link.Link, replaced *atomic.Bool) {
	replaced = &atomic.Bool{}
	l = startAmong(c, newDesk("local", false), func() []registry.Member {
		if replaced.Load() {
			return []registry.Member{second.Member, first.Member, {Host: "self"}}
		}
		return []registry.Member{first.Member, second.Member, {Host: "self"}}
	})
	eventually(c, func() bool { return !l.Leads() })
	return l, replaced
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
	l.Submit(lead.Order{Job: sched.Job{ID: id, Deadline: time.Now().Add(time.Minute)}}, func(d lead.Decision) { got <- d })
	return got
}

func TestOrdersGoToTheLeader(t *testing.T) {
	c := qt.New(t)
	remote := newDesk("remote", false)
	p := newPeer(c, "leader", remote)
	l := start(c, newDesk("local", false), p.Member)
	eventually(c, func() bool { return !l.Leads() })
	c.Check((<-ask(l, "1")).Upstream, qt.Equals, "remote")
	l.Ended("1", "", false)
	eventually(c, func() bool { return remote.count() == 0 })
}

func TestUndecidedOrdersOutliveTheLeader(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "leader", newDesk("remote", true))
	l := start(c, newDesk("local", false), p.Member)
	eventually(c, func() bool { return !l.Leads() })
	got := ask(l, "1")
	time.Sleep(50 * time.Millisecond)
	p.server.Stop()
	c.Check((<-got).Upstream, qt.Equals, "local")
	c.Check(l.Leads(), qt.IsTrue)
}

// A leader that was replaced goes on with its orders; if it ends before it has decided, they go to the present one.
func TestUndecidedOrdersGoOnWhereTheLostLeaderWas(t *testing.T) {
	c := qt.New(t)
	old, next := newDesk("old", true), newDesk("next", false)
	first, second := newPeer(c, "first", old), newPeer(c, "second", next)
	l, replaced := startBehind(c, first, second)
	got := ask(l, "one")
	eventually(c, func() bool { return old.count() == 1 })
	old.tell("one", lead.Decision{Pending: true, Progress: []sched.Progress{
		{Done: true, Results: []sched.Held{{Handle: "h1", Maker: "m", Left: time.Minute}}},
	}})
	// Messages of one connection arrive in order, so the decision shows that the progress is known.
	other := ask(l, "other")
	eventually(c, func() bool { return old.count() == 2 })
	old.tell("other", lead.Decision{Upstream: "old"})
	c.Assert((<-other).Upstream, qt.Equals, "old")
	replaced.Store(true)
	first.server.Stop()
	c.Check((<-got).Upstream, qt.Equals, "next")
	next.mu.Lock()
	defer next.mu.Unlock()
	c.Assert(next.progress, qt.HasLen, 1)
	c.Check(next.progress[0].Results[0].Handle, qt.Equals, "h1")
}

func TestUndecidedOrdersOutliveAReplacedLeader(t *testing.T) {
	c := qt.New(t)
	first, second := newPeer(c, "first", newDesk("first", true)), newPeer(c, "second", newDesk("second", false))
	l, replaced := startBehind(c, first, second)
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
	first.server.Stop()
	select {
	case d := <-got:
		c.Check(d.Upstream, qt.Equals, "second")
	case <-time.After(5 * time.Second):
		c.Fatal("the order is lost")
	}
}

// A process that has started does not act as if it were alone before it has found the leader.
func TestOrdersWaitUntilALeaderIsFound(t *testing.T) {
	c := qt.New(t)
	local, remote := newDesk("local", false), newDesk("remote", false)
	p := newPeer(c, "leader", remote)
	var known atomic.Bool
	l := startAmong(c, local, func() []registry.Member {
		if known.Load() {
			return []registry.Member{p.Member, {Host: "self"}}
		}
		return []registry.Member{{Host: "self"}}
	})
	first, second := ask(l, "1"), ask(l, "2")
	l.Ended("2", "", false)
	time.Sleep(100 * time.Millisecond)
	known.Store(true)
	c.Check((<-first).Upstream, qt.Equals, "remote")
	c.Check(second, qt.HasLen, 0, qt.Commentf("it was over before a leader was found"))

	alone := start(c, newDesk("alone", false), registry.Member{Host: "self"})
	c.Check((<-ask(alone, "3")).Upstream, qt.Equals, "alone")
}

// A leader that was replaced gives back what it has not decided on, with what it has done of it.
func TestOrdersMoveWithTheirProgress(t *testing.T) {
	c := qt.New(t)
	old, next := newDesk("first", true), newDesk("second", false)
	old.handsOver = true
	first, second := newPeer(c, "first", old), newPeer(c, "second", next)
	l, replaced := startBehind(c, first, second)
	got := ask(l, "1")
	eventually(c, func() bool { return old.count() == 1 })
	replaced.Store(true)
	c.Check((<-got).Upstream, qt.Equals, "second")
	c.Check(old.count(), qt.Equals, 0)
	c.Check(next.progress, qt.DeepEquals, []sched.Progress{{Done: true, Results: []sched.Held{{Handle: "h", Maker: "m", Left: time.Second}}}})
}

// An entry goes to whom its leader follows, though it does not know that one itself.
func TestEntriesGoWhereTheirLeaderGoes(t *testing.T) {
	c := qt.New(t)
	first, second := newPeer(c, "first", newDesk("first", false)), newPeer(c, "second", newDesk("second", false))
	l := start(c, newDesk("local", false), first.Member)
	eventually(c, func() bool { return !l.Leads() })
	c.Check((<-ask(l, "1")).Upstream, qt.Equals, "first")
	first.leader.Store(&second.Member)
	for n := 0; ; n++ {
		d := <-ask(l, fmt.Sprint("more", n))
		if d.Upstream == "second" {
			break
		}
		c.Assert(d.Upstream, qt.Equals, "first", qt.Commentf("in between it must not lead itself"))
		c.Assert(n < 200, qt.IsTrue)
		time.Sleep(20 * time.Millisecond)
	}
}

// A member that follows one that is gone has not noticed yet; the entry must not lead itself meanwhile.
func TestMembersHaveTimeToNoticeThatTheirLeaderIsGone(t *testing.T) {
	c := qt.New(t)
	first, second := newPeer(c, "first", newDesk("first", false)), newPeer(c, "second", newDesk("second", false))
	second.leader.Store(&first.Member)
	l := startAmong(c, newDesk("local", false), func() []registry.Member {
		return []registry.Member{first.Member, second.Member, {Host: "self"}}
	})
	eventually(c, func() bool { return !l.Leads() })
	first.server.Stop()
	time.AfterFunc(700*time.Millisecond, func() { second.leader.Store(nil) })
	got := ask(l, "1")
	c.Check((<-got).Upstream, qt.Equals, "second")
	c.Check(l.Leads(), qt.IsFalse)
}

// A record of a lifetime that has ended says nothing about the place of the next one in the order.
func TestStaleRecordsNameNoLeader(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "first", newDesk("first", false))
	stale := p.Member
	stale.Born = 0
	l := start(c, newDesk("local", false), stale)
	eventually(c, func() bool { return p.hellos.Load() > 0 })
	time.Sleep(500 * time.Millisecond)
	c.Check(l.Leads(), qt.IsTrue)
	c.Check((<-ask(l, "1")).Upstream, qt.Equals, "local")
}

// A member that takes connections and says nothing must not cost the leader its pings.
func TestSilentMembersDoNotCostTheLeader(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "leader", newDesk("leader", false))
	silent, err := proxy.New(p.Address, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(silent.Close)
	silent.Set(proxy.Dead)
	var present atomic.Bool
	l := startAmong(c, newDesk("local", false), func() []registry.Member {
		if present.Load() {
			return []registry.Member{{Host: "silent", Address: silent.Address(), Born: 1}, p.Member, {Host: "self"}}
		}
		return []registry.Member{p.Member, {Host: "self"}}
	})
	eventually(c, func() bool { return !l.Leads() })
	present.Store(true)
	for range 40 {
		time.Sleep(100 * time.Millisecond)
		c.Assert(l.Leads(), qt.IsFalse)
	}
	c.Check(p.hellos.Load(), qt.Equals, int64(1), qt.Commentf("one connection for all the time"))
}

func TestEntriesThatGoAwayEndTheirOrders(t *testing.T) {
	c := qt.New(t)
	remote := newDesk("remote", true)
	p := newPeer(c, "leader", remote)
	ctx, cancel := context.WithCancel(context.Background())
	l := link.New(link.Options{
		Self: "self", Local: newDesk("local", false), Members: func() []registry.Member { return []registry.Member{p.Member} },
		MembersRead: func() bool { return false }, MemberCount: func() int { return 2 }, Leaving: func() bool { return false }, SetBlocked: func([]uint64) {}, AdoptRules: func(int64, []byte) {}, LacksRules: func(watch.Sighting) bool { return false },
		Notices: func() []notices.Notice { return nil }, ConfirmMembers: func(registry.View) {}, RulesVersion: func() int64 { return 0 },
		Confirm: func(watch.Sighting, *hosts.Table) {}, Now: time.Now, Log: zap.NewNop(),
	})
	go l.Run(ctx)
	eventually(c, func() bool { return !l.Leads() })
	ask(l, "1")
	eventually(c, func() bool { return remote.count() == 1 })
	cancel()
	l.Close()
	eventually(c, func() bool { return remote.count() == 0 })
}

func TestProcessesDoNotLeadOthersAtOnce(t *testing.T) {
	c := qt.New(t)
	l := startAmong(c, newDesk("local", false), func() []registry.Member { return []registry.Member{{Host: "self"}} })
	eventually(c, func() bool { _, follows := l.Leader(); return follows })
	c.Check((<-ask(l, "1")).Upstream, qt.Equals, "local", qt.Commentf("its own orders do not wait"))
	eventually(c, func() bool { _, follows := l.Leader(); return !follows })
}

// A process that has read who the others are has seen one that leads, too.
func TestProcessesThatKnowTheOthersLeadSooner(t *testing.T) {
	c := qt.New(t)
	l := newLink(newDesk("local", false), func() []registry.Member { return []registry.Member{{Host: "self"}} }, func() bool { return true })
	begun := time.Now()
	runLink(c, l)
	eventually(c, func() bool { _, follows := l.Leader(); return follows })
	eventually(c, func() bool { _, follows := l.Leader(); return !follows })
	took := time.Since(begun)
	c.Check(took > 200*time.Millisecond && took < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
}

// A member whose host takes connections but whose process stands still must not keep orders from being decided.
func TestMembersThatStandStillAreNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	listener, err := ports.Listen()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	l := start(c, newDesk("local", false), registry.Member{Host: "first", Address: listener.Addr().String(), Born: 1})
	select {
	case d := <-ask(l, "1"):
		c.Check(d.Upstream, qt.Equals, "local")
	case <-time.After(2 * time.Second):
		c.Fatal("the order waits")
	}
}

// Two that lead, as one could not reach the other for a while, soon have one leader again; without the store, too.
func TestLeadersMeetAgain(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "first", newDesk("first", false))
	line, err := proxy.New(p.Address, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(line.Close)
	first := p.Member
	first.Address = line.Address()
	l := start(c, newDesk("local", false), first)
	eventually(c, func() bool { return !l.Leads() })
	for range 2 {
		line.Set(proxy.Dead)
		eventually(c, l.Leads)
		line.Set(proxy.Clear)
		cleared := time.Now()
		eventually(c, func() bool { return !l.Leads() })
		c.Check(time.Since(cleared) < 3500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(cleared)))
	}
}

// An order that was handed over may come back on another connection, and must not end with the old one.
func TestOrdersThatComeBackOutliveTheOldConnection(t *testing.T) {
	c := qt.New(t)
	desk := newDesk("leader", true)
	desk.handsOver = true
	p := newPeer(c, "leader", desk)
	conn, err := grpc.NewClient("passthrough:///"+p.Address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	order := &cellpb.ToLead{Body: &cellpb.ToLead_Submit{Submit: &cellpb.Submit{Id: "1"}}}
	old, end := context.WithCancel(context.Background())
	first, err := cellpb.NewCellClient(conn).Work(old)
	c.Assert(err, qt.IsNil)
	c.Assert(first.Send(order), qt.IsNil)
	c.Assert(first.Send(&cellpb.ToLead{Body: &cellpb.ToLead_Recall{Recall: &cellpb.Recall{Id: "1"}}}), qt.IsNil)
	got, err := first.Recv()
	c.Assert(err, qt.IsNil)
	c.Assert(got.GetDecision().GetMoved(), qt.IsTrue)
	second, err := cellpb.NewCellClient(conn).Work(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(second.Send(order), qt.IsNil)
	eventually(c, func() bool { return desk.count() == 1 })
	end()
	time.Sleep(200 * time.Millisecond)
	c.Check(desk.count(), qt.Equals, 1)
}

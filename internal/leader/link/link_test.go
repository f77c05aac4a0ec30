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
	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
	"github.com/ragworthatch/ragworthatch/internal/fake/proxy"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/link"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/leader/serve"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// fakeDispatcher decides at once, or not at all if it is silent.
type fakeDispatcher struct {
	name    string
	silent  bool
	replies map[string]func(lead.Decision)
	mu      sync.Mutex
	open    map[string]bool

	recalls  bool             // hands an order over when it is recalled
	progress []sched.Progress // of the newest order
	repeats  int              // of the newest order
	caller   string           // route and team of the newest order
	adopted  map[string]place.Run
}

func (d *fakeDispatcher) Submit(o lead.Order, reply func(lead.Decision)) {
	d.mu.Lock()
	d.open[o.Job.ID] = true
	d.replies[o.Job.ID] = reply
	d.progress, d.repeats, d.caller = o.Job.Progress, o.Stream.Repeats, o.Job.Route+" "+o.Job.Team
	d.mu.Unlock()
	if !d.silent {
		reply(lead.Decision{Upstream: d.name})
	}
}
func (d *fakeDispatcher) Retry(_, _ string, _ lead.Problem, _ string, reply func(lead.Decision)) {
	reply(lead.Decision{Upstream: d.name + " again"})
}
func (d *fakeDispatcher) FirstByte(string, bool) {}
func (d *fakeDispatcher) Recall(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.recalls {
		return
	}
	delete(d.open, id)
	d.replies[id](lead.Decision{Moved: true, Progress: []sched.Progress{{Done: true,
		Results: []sched.HeldResult{{Handle: "h", Producer: hosts.Lifetime{ID: "m", StartedMs: 7}, ExpiresIn: time.Second}}}}})
}
func (d *fakeDispatcher) Abandon([]string) {}
func (d *fakeDispatcher) Adopt(_ string, runs []place.Run, _ bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range runs {
		d.adopted[r.ID] = r
	}
}
func (d *fakeDispatcher) Crashed(crash.Report)                  {}
func (d *fakeDispatcher) Served(uint64)                         {}
func (d *fakeDispatcher) UpstreamNotice(string, notices.Notice) {}
func (d *fakeDispatcher) Ended(id, _ string, _ bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.open, id)
	delete(d.adopted, id)
}

func (d *fakeDispatcher) runOf(id string) place.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.adopted[id]
}

// sendDecision sends a decision on an open order.
func (d *fakeDispatcher) sendDecision(id string, decision lead.Decision) {
	d.mu.Lock()
	reply := d.replies[id]
	d.mu.Unlock()
	reply(decision)
}

func (d *fakeDispatcher) openCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.open)
}

func newFake(name string, silent bool) *fakeDispatcher {
	return &fakeDispatcher{name: name, silent: silent, open: map[string]bool{}, adopted: map[string]place.Run{}, replies: map[string]func(lead.Decision){}}
}

// peer is another entry.
type peer struct {
	registry.Member
	server *grpc.Server
	leader atomic.Pointer[registry.Member] // the leader that it follows; nil if none
	born   int64                           // of the process
	crash  *crash.Tracker
	limits *pace.Limiter[hosts.Lifetime]
	readAt atomic.Pointer[time.Time] // of the list of upstreams by an entry
	zones  atomic.Pointer[zones.Set] // that it knows to be evacuated
	hellos atomic.Int64              // lines that its server logged, which is one for each connection
}

// newTracker returns a tracker of a process that leads.
func newTracker() *crash.Tracker {
	return crash.New(crash.Options{Now: time.Now, Leads: func() bool { return true },
		HearsOthers: func() bool { return true }})
}

// listReadAt is when the entry self has last read the list of upstreams.
var listReadAt = time.Now().Add(-time.Second)

// newPeer serves a dispatcher.
func newPeer(c *qt.C, host string, dispatcher lead.Decider) *peer {
	listener, err := ports.Listen()
	c.Assert(err, qt.IsNil)
	p := &peer{Member: registry.Member{Host: host, Address: listener.Addr().String(), Born: 1}, server: grpc.NewServer(),
		born: 1, crash: newTracker(), limits: newLimits()}
	p.zones.Store(zones.New())
	log := zap.New(logHook(func() { p.hellos.Add(1) }))
	cellpb.RegisterCellServer(p.server, serve.New(serve.Options{
		Dispatcher: dispatcher, Limits: p.limits, Born: p.born, Leaving: func() bool { return false }, Leader: func() (registry.Member, bool) {
			if m := p.leader.Load(); m != nil {
				return *m, true
			}
			return registry.Member{}, false
		},
		Crash: p.crash, Origins: newOrigins(),
		Zones: p.zones.Load, ObserveZones: func(r []zones.Record) { p.zones.Store(p.zones.Load().WithRecords(r)) },
		Rules: func() serve.Rules { return serve.Rules{} }, Era: func() int64 { return 0 },
		Hosts: func() *hosts.Table { return hosts.New(nil, time.Now()) }, ObserveRead: func(at time.Time) { p.readAt.Store(&at) },
		Crew: func() registry.View { return registry.View{} }, Now: time.Now, Log: log,
	}))
	go func() { _ = p.server.Serve(listener) }()
	c.Cleanup(p.server.Stop)
	return p
}

// logHook calls f for each line that is logged.
func logHook(f func()) zapcore.Core {
	return zapcore.RegisterHooks(zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}),
		zapcore.AddSync(io.Discard), zapcore.InfoLevel),
		func(zapcore.Entry) error { f(); return nil })
}

// startLink runs a link that knows the member first and, after it, itself.
func startLink(c *qt.C, local lead.Decider, first registry.Member) *link.Link {
	return startWithMembers(c, local, func() []registry.Member { return []registry.Member{first, {Host: "self"}} })
}

func startWithMembers(c *qt.C, local lead.Decider, members func() []registry.Member) *link.Link {
	l := newLink(local, members, func() bool { return false })
	runLink(c, l)
	return l
}

func runLink(c *qt.C, l *link.Link) {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go l.Run(ctx)
}

// newLimits returns a limiter of a process that may use all of each limit.
func newLimits() *pace.Limiter[hosts.Lifetime] {
	return pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now})
}

// newLink returns a link of the entry self, which is not running yet.
func newLink(local lead.Decider, members func() []registry.Member, membersRead func() bool) *link.Link {
	return newLinkWith(newTracker(), local, members, membersRead)
}

// newOrigins returns a keeper that knows no streams.
func newOrigins() *origin.Keeper {
	return origin.New("self", origin.Options{Now: time.Now, Pools: func() map[string]time.Duration { return nil }})
}

func newLinkWith(
	tracker *crash.Tracker, local lead.Decider, members func() []registry.Member, membersRead func() bool) *link.Link {
	return link.New(link.Options{
		Self: "self", Local: local, Members: members, MembersRead: membersRead, MemberCount: func() int { return 2 },
		Leaving: func() bool { return false }, Crash: tracker, Limits: newLimits(), Origins: newOrigins(), AdoptRules: func(int64, []byte) {},
		LacksRules: func(watch.Revision) bool { return false },
		Notices:    func() []notices.Notice { return nil }, ConfirmMembers: func(registry.View) {},
		RulesVersion: func() int64 { return 0 }, ObserveEra: func(int64) {}, ListReadAt: func() time.Time { return listReadAt },
		Zones:   zones.New,
		Confirm: func(watch.Revision, *hosts.Table) {}, Now: time.Now, Log: zap.NewNop(),
	})
}

// startFollowing returns a link that follows first, and second once replaced is set.
func startFollowing(c *qt.C, first, second *peer) (l *link.Link, replaced *atomic.Bool) {
	replaced = &atomic.Bool{}
	l = startWithMembers(c, newFake("local", false), func() []registry.Member {
		if replaced.Load() {
			return []registry.Member{second.Member, first.Member, {Host: "self"}}
		}
		return []registry.Member{first.Member, second.Member, {Host: "self"}}
	})
	eventually(c, func() bool { return !l.Leads() })
	return l, replaced
}

// eventually waits up to 10 s until ok returns true, and fails the test otherwise.
func eventually(c *qt.C, ok func() bool) {
	c.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	c.Fatal("the condition does not hold in time")
}

// submit submits an order and returns the channel on which its decisions arrive.
func submit(l *link.Link, id string) chan lead.Decision {
	got := make(chan lead.Decision, 2)
	l.Submit(lead.Order{Job: sched.Job{ID: id, Route: "chat", Team: "web", Deadline: time.Now().Add(time.Minute)}}, func(d lead.Decision) { got <- d })
	return got
}

// What the leader learns of crashes reaches the entries that follow it, and the blocks that an entry knows reach a
// leader that knows nothing of them.
func TestSuspicionReachesTheNextLeader(t *testing.T) {
	c := qt.New(t)
	first, second := newPeer(c, "first", newFake("first", false)), newPeer(c, "second", newFake("second", false))
	var replaced atomic.Bool
	tracker := newTracker()
	l := newLinkWith(tracker, newFake("local", false), func() []registry.Member {
		if replaced.Load() {
			return []registry.Member{second.Member, {Host: "self"}}
		}
		return []registry.Member{first.Member, {Host: "self"}}
	}, func() bool { return false })
	runLink(c, l)
	now := time.Now()
	crashUnder := func(lifetime string, fingerprint uint64, sent time.Duration) crash.Report {
		return crash.Report{Fingerprint: fingerprint, Lifetime: lifetime, Parts: []string{"bad"}, Sent: now.Add(sent),
			Broke: now.Add(sent + time.Millisecond)}
	}
	first.crash.ObserveCrash(crashUnder("a", 1, 0))
	first.crash.ObserveCrash(crashUnder("b", 2, 2*time.Millisecond))
	eventually(c, func() bool { return tracker.IsSuspect(crashUnder("c", 3, 0)) })

	first.crash.ObserveCrash(crashUnder("c", 3, 4*time.Millisecond))
	eventually(c, func() bool { return len(first.crash.Judge()) == 1 })
	eventually(c, func() bool { return tracker.BlockedFor(0, []string{"bad"}) > 0 })
	replaced.Store(true)
	eventually(c, func() bool { return second.crash.BlockedFor(0, []string{"bad"}) > 0 })
	c.Check(tracker.BlockedFor(0, []string{"bad"}) > 0, qt.IsTrue)
}

func TestOrdersGoToTheLeader(t *testing.T) {
	c := qt.New(t)
	remote := newFake("remote", false)
	p := newPeer(c, "leader", remote)
	l := startLink(c, newFake("local", false), p.Member)
	eventually(c, func() bool { return !l.Leads() })
	c.Check((<-submit(l, "1")).Upstream, qt.Equals, "remote")
	c.Check(remote.caller, qt.Equals, "chat web", qt.Commentf("floors are those of routes and teams"))
	l.Ended("1", "", false)
	eventually(c, func() bool { return remote.openCount() == 0 })
}

func TestLeadersHearWhenEntriesReadTheStore(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "leader", newFake("remote", false))
	startLink(c, newFake("local", false), p.Member)
	eventually(c, func() bool { return p.readAt.Load() != nil })
	c.Check(p.readAt.Load().Sub(listReadAt).Abs() < 500*time.Millisecond, qt.IsTrue)
}

func TestUndecidedOrdersOutliveTheLeader(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "leader", newFake("remote", true))
	l := startLink(c, newFake("local", false), p.Member)
	eventually(c, func() bool { return !l.Leads() })
	got := submit(l, "1")
	time.Sleep(50 * time.Millisecond)
	p.server.Stop()
	c.Check((<-got).Upstream, qt.Equals, "local")
	c.Check(l.Leads(), qt.IsTrue)
}

// The next leader must know what runs on the engines before it fills them, and hear when that ends. The last leader is
// this entry itself.
func TestEntriesTellTheNextLeaderWhatRuns(t *testing.T) {
	c := qt.New(t)
	old, next, local := newFake("old", false), newFake("next", false), newFake("local", false)
	first, second := newPeer(c, "first", old), newPeer(c, "second", next)
	members := []registry.Member{first.Member, second.Member, {Host: "self"}}
	var skip atomic.Int64
	l := startWithMembers(c, local, func() []registry.Member { return members[skip.Load():] })
	eventually(c, func() bool { return !l.Leads() })
	for _, id := range []string{"1", "2"} {
		got := make(chan lead.Decision, 1)
		l.Submit(lead.Order{Job: sched.Job{ID: id}, Engine: place.Order{ID: id, PromptTokens: 100, OutputLimit: 7,
			Deadline: time.Now().Add(time.Minute)}}, func(d lead.Decision) { got <- d })
		c.Check((<-got).Upstream, qt.Equals, "old")
	}
	l.FirstByte("2", false)
	skip.Store(1)
	eventually(c, func() bool { return next.runOf("2").Engine == "old" })
	c.Check(next.runOf("1").Tokens, qt.Equals, 107)
	c.Check(next.runOf("1").Unread, qt.Equals, 100)
	c.Check(next.runOf("2").Unread, qt.Equals, 0)
	l.Ended("2", "old", false)
	eventually(c, func() bool { return next.runOf("2").ID == "" && old.openCount() == 1 })
	second.server.Stop()
	first.server.Stop()
	skip.Store(2)
	eventually(c, func() bool { return local.runOf("1").Engine == "old" })
	c.Check(local.runOf("2").ID, qt.Equals, "")
}

// A replaced leader keeps its orders. If it stops before it has decided, they resume at the present leader from the
// progress that it reported.
func TestUndecidedOrdersResumeWhereTheLostLeaderWas(t *testing.T) {
	c := qt.New(t)
	old, next := newFake("old", true), newFake("next", false)
	first, second := newPeer(c, "first", old), newPeer(c, "second", next)
	l, replaced := startFollowing(c, first, second)
	got := submit(l, "one")
	eventually(c, func() bool { return old.openCount() == 1 })
	old.sendDecision("one", lead.Decision{Pending: true, Progress: []sched.Progress{
		{Done: true, Results: []sched.HeldResult{{Handle: "h1", Producer: hosts.Lifetime{ID: "m"}, ExpiresIn: time.Minute}}},
	}})
	// Messages of one connection arrive in order, so the decision shows that the progress is known.
	other := submit(l, "other")
	eventually(c, func() bool { return old.openCount() == 2 })
	old.sendDecision("other", lead.Decision{Upstream: "old"})
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
	first, second := newPeer(c, "first", newFake("first", true)), newPeer(c, "second", newFake("second", false))
	l, replaced := startFollowing(c, first, second)
	got := submit(l, "1")
	replaced.Store(true)
	eventually(c, func() bool {
		defer l.Ended("2", "", false)
		select {
		case d := <-submit(l, "2"):
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

// A process that starts must not decide on its orders itself before it has looked for a leader.
func TestOrdersWaitUntilALeaderIsFound(t *testing.T) {
	c := qt.New(t)
	local, remote := newFake("local", false), newFake("remote", false)
	p := newPeer(c, "leader", remote)
	var known atomic.Bool
	l := startWithMembers(c, local, func() []registry.Member {
		if known.Load() {
			return []registry.Member{p.Member, {Host: "self"}}
		}
		return []registry.Member{{Host: "self"}}
	})
	first, second := submit(l, "1"), submit(l, "2")
	l.Ended("2", "", false)
	time.Sleep(100 * time.Millisecond)
	known.Store(true)
	c.Check((<-first).Upstream, qt.Equals, "remote")
	c.Check(second, qt.HasLen, 0, qt.Commentf("it was over before a leader was found"))

	alone := startLink(c, newFake("alone", false), registry.Member{Host: "self"})
	c.Check((<-submit(alone, "3")).Upstream, qt.Equals, "alone")
}

// A replaced leader gives its undecided orders back with their progress.
func TestOrdersMoveWithTheirProgress(t *testing.T) {
	c := qt.New(t)
	old, next := newFake("first", true), newFake("second", false)
	old.recalls = true
	first, second := newPeer(c, "first", old), newPeer(c, "second", next)
	l, replaced := startFollowing(c, first, second)
	got := submit(l, "1")
	eventually(c, func() bool { return old.openCount() == 1 })
	replaced.Store(true)
	c.Check((<-got).Upstream, qt.Equals, "second")
	c.Check(old.openCount(), qt.Equals, 0)
	c.Check(next.progress, qt.DeepEquals, []sched.Progress{{Done: true,
		Results: []sched.HeldResult{{Handle: "h", Producer: hosts.Lifetime{ID: "m", StartedMs: 7}, ExpiresIn: time.Second}}}})
}

func TestOrdersCountTheDecisionsThatMayBeRecorded(t *testing.T) {
	c := qt.New(t)
	remote, local := newFake("remote", false), newFake("local", false)
	p := newPeer(c, "leader", remote)
	l := startLink(c, local, p.Member)
	eventually(c, func() bool { return !l.Leads() })
	c.Check((<-submit(l, "1")).Upstream, qt.Equals, "remote")
	c.Check(remote.repeats, qt.Equals, 0)
	reply := make(chan lead.Decision, 1)
	l.Retry("1", "remote", lead.ProblemFailed, "", func(d lead.Decision) { reply <- d })
	c.Check((<-reply).Upstream, qt.Equals, "remote again")
	p.server.Stop()
	eventually(c, l.Leads)
	l.Retry("1", "remote", lead.ProblemFailed, "", func(d lead.Decision) { reply <- d })
	c.Check((<-reply).Upstream, qt.Equals, "local")
	c.Check(local.repeats, qt.Equals, 2)
}

// If its leader follows another member, an entry follows that one too, even if it is not among the members that it
// knows.
func TestEntriesFollowTheLeaderOfTheirLeader(t *testing.T) {
	c := qt.New(t)
	first, second := newPeer(c, "first", newFake("first", false)), newPeer(c, "second", newFake("second", false))
	l := startLink(c, newFake("local", false), first.Member)
	eventually(c, func() bool { return !l.Leads() })
	c.Check((<-submit(l, "1")).Upstream, qt.Equals, "first")
	first.leader.Store(&second.Member)
	for n := 0; ; n++ {
		d := <-submit(l, fmt.Sprint("more", n))
		if d.Upstream == "second" {
			break
		}
		c.Assert(d.Upstream, qt.Equals, "first", qt.Commentf("it must not lead meanwhile"))
		c.Assert(n < 200, qt.IsTrue)
		time.Sleep(20 * time.Millisecond)
	}
}

// A member that still follows a lost leader has not noticed the loss yet. The entry must wait for it, and not lead
// meanwhile.
func TestMembersHaveTimeToNoticeThatTheirLeaderIsLost(t *testing.T) {
	c := qt.New(t)
	first, second := newPeer(c, "first", newFake("first", false)), newPeer(c, "second", newFake("second", false))
	second.leader.Store(&first.Member)
	l := startWithMembers(c, newFake("local", false), func() []registry.Member {
		return []registry.Member{first.Member, second.Member, {Host: "self"}}
	})
	eventually(c, func() bool { return !l.Leads() })
	first.server.Stop()
	time.AfterFunc(700*time.Millisecond, func() { second.leader.Store(nil) })
	got := submit(l, "1")
	c.Check((<-got).Upstream, qt.Equals, "second")
	c.Check(l.Leads(), qt.IsFalse)
}

// A record of an earlier process of a host must not make its present process the leader, whose rank may differ.
func TestStaleRecordsNameNoLeader(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "first", newFake("first", false))
	stale := p.Member
	stale.Born = 0
	l := startLink(c, newFake("local", false), stale)
	eventually(c, func() bool { return p.hellos.Load() > 0 })
	time.Sleep(500 * time.Millisecond)
	c.Check(l.Leads(), qt.IsTrue)
	c.Check((<-submit(l, "1")).Upstream, qt.Equals, "local")
}

// A preferred member that accepts connections and stays silent must not delay the pings to the leader.
func TestSilentMembersDoNotCostTheLeader(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "leader", newFake("leader", false))
	silent, err := proxy.New(p.Address, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(silent.Close)
	silent.Set(proxy.DropAll)
	var present atomic.Bool
	l := startWithMembers(c, newFake("local", false), func() []registry.Member {
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

func TestOrdersEndWithTheConnectionOfTheirEntry(t *testing.T) {
	c := qt.New(t)
	remote := newFake("remote", true)
	p := newPeer(c, "leader", remote)
	ctx, cancel := context.WithCancel(context.Background())
	l := newLink(newFake("local", false), func() []registry.Member { return []registry.Member{p.Member} },
		func() bool { return false })
	go l.Run(ctx)
	eventually(c, func() bool { return !l.Leads() })
	submit(l, "1")
	eventually(c, func() bool { return remote.openCount() == 1 })
	cancel()
	l.Close()
	eventually(c, func() bool { return remote.openCount() == 0 })
}

func TestProcessesDoNotLeadOthersAtOnce(t *testing.T) {
	c := qt.New(t)
	l := startWithMembers(c, newFake("local", false),
		func() []registry.Member { return []registry.Member{{Host: "self"}} })
	eventually(c, func() bool { _, follows := l.Leader(); return follows })
	c.Check((<-submit(l, "1")).Upstream, qt.Equals, "local", qt.Commentf("its own orders do not wait"))
	eventually(c, func() bool { _, follows := l.Leader(); return !follows })
}

// A process that has read the members would have seen a leader among them, so it waits less before it leads.
func TestProcessesThatHaveReadTheMembersLeadSooner(t *testing.T) {
	c := qt.New(t)
	l := newLink(newFake("local", false), func() []registry.Member { return []registry.Member{{Host: "self"}} },
		func() bool { return true })
	start := time.Now()
	runLink(c, l)
	eventually(c, func() bool { _, follows := l.Leader(); return follows })
	eventually(c, func() bool { _, follows := l.Leader(); return !follows })
	took := time.Since(start)
	c.Check(took > 200*time.Millisecond && took < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
}

// A member whose host accepts connections while its process is stopped must not keep orders waiting.
func TestStoppedMembersAreNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	listener, err := ports.Listen()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { listener.Close() })
	l := startLink(c, newFake("local", false),
		registry.Member{Host: "first", Address: listener.Addr().String(), Born: 1})
	select {
	case d := <-submit(l, "1"):
		c.Check(d.Upstream, qt.Equals, "local")
	case <-time.After(2 * time.Second):
		c.Fatal("the order waits")
	}
}

// Two entries that lead, as one could not reach the other for a while, must soon have one leader again, without the
// store.
func TestTwoLeadersBecomeOneAgain(t *testing.T) {
	c := qt.New(t)
	p := newPeer(c, "first", newFake("first", false))
	line, err := proxy.New(p.Address, 0)
	c.Assert(err, qt.IsNil)
	c.Cleanup(line.Close)
	first := p.Member
	first.Address = line.Address()
	l := startLink(c, newFake("local", false), first)
	eventually(c, func() bool { return !l.Leads() })
	for range 2 {
		line.Set(proxy.DropAll)
		eventually(c, l.Leads)
		line.Set(proxy.Clear)
		cleared := time.Now()
		eventually(c, func() bool { return !l.Leads() })
		c.Check(time.Since(cleared) < 3500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", time.Since(cleared)))
	}
}

// An order that was handed over may be submitted again on another connection, and must not end with the old one.
func TestResubmittedOrdersOutliveTheOldConnection(t *testing.T) {
	c := qt.New(t)
	leader := newFake("leader", true)
	leader.recalls = true
	p := newPeer(c, "leader", leader)
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
	eventually(c, func() bool { return leader.openCount() == 1 })
	end()
	time.Sleep(200 * time.Millisecond)
	c.Check(leader.openCount(), qt.Equals, 1)
}

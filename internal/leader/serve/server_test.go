package serve

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// countingDispatcher counts the orders that reach it.
type countingDispatcher struct {
	lead.Decider
	orders int
}

func (d *countingDispatcher) Submit(lead.Order, func(lead.Decision)) { d.orders++ }

// nopDispatcher ignores all orders and messages.
type nopDispatcher struct{}

func (nopDispatcher) Submit(lead.Order, func(lead.Decision))                          {}
func (nopDispatcher) Retry(string, string, lead.Problem, string, func(lead.Decision)) {}
func (nopDispatcher) FirstByte(string, bool)                                          {}
func (nopDispatcher) Ended(string, string, bool)                                      {}
func (nopDispatcher) Crashed(crash.Report)                                            {}
func (nopDispatcher) UpstreamNotice(string, notices.Notice)                           {}
func (nopDispatcher) Served(uint64)                                                   {}
func (nopDispatcher) Adopt(string, []place.Run, bool)                                 {}
func (nopDispatcher) Abandon([]string)                                                {}
func (nopDispatcher) Recall(string)                                                   {}

// newTracker returns a tracker of a process that leads.
func newTracker() *crash.Tracker {
	return crash.New(crash.Options{Now: time.Now, Leads: func() bool { return true },
		HearsOthers: func() bool { return true }})
}

// newLimits returns a limiter of a process that may use all of each limit.
func newLimits() *pace.Limiter[hosts.Lifetime] {
	return pace.New[hosts.Lifetime](pace.Options{Share: func() float64 { return 1 }, Now: time.Now})
}

// newSession returns a session without a connection, in a fleet of 300 entries.
func newSession(dispatcher lead.Decider, rules func() Rules, list func() *hosts.Table) *session {
	s := New(Options{
		Dispatcher: dispatcher, Leaving: func() bool { return false },
		Leader: func() (registry.Member, bool) { return registry.Member{}, false },
		Crash:  newTracker(), Limits: newLimits(),
		Rules: rules, Hosts: list, Era: func() int64 { return 0 }, ObserveRead: func(time.Time) {},
		Crew:  func() registry.View { return registry.View{Candidates: []registry.Member{{Host: "a"}}, Size: 300} },
		Zones: zones.New, ObserveZones: func([]zones.Record) {},
		Now: time.Now, Log: zap.NewNop(),
	})
	return &session{Server: s, outbox: make(chan *cellpb.ToEntry, outboxSize), open: map[string]bool{}}
}

// ping returns the ping with a sequence number.
func ping(n int64) *cellpb.ToLead {
	return &cellpb.ToLead{Body: &cellpb.ToLead_Ping{Ping: &cellpb.Ping{Sequence: n}}}
}

// drain empties the outbox and returns the number and the bytes of its messages.
func (ses *session) drain() (count, size int) {
	for len(ses.outbox) > 0 {
		size += proto.Size(<-ses.outbox)
		count++
	}
	return count, size
}

// Many new configurations, and one upstream after the other that leaves, must not delay pongs: only changes are sent,
// and nothing before the first pong.
func TestPongsStaySmallUnderManyChanges(t *testing.T) {
	c := qt.New(t)
	const pings, bodySize, perPing = 20, 400 << 10, 400 // bytes
	var version int64
	body := bytes.Repeat([]byte("x"), bodySize)
	ses := newSession(nil, func() Rules { return Rules{Version: version, Body: body} },
		func() *hosts.Table { return table(version, int(version), 1000) })
	ses.handle(ping(1))
	count, size := ses.drain()
	c.Check(count, qt.Equals, 1, qt.Commentf("nothing comes before the first answer"))
	c.Check(size < perPing, qt.IsTrue, qt.Commentf("%d bytes", size))
	list, err := ses.List(t.Context(), &cellpb.ListQuery{})
	c.Assert(err, qt.IsNil)
	ses.handle(&cellpb.ToLead{Body: &cellpb.ToLead_Holds{Holds: &cellpb.Holds{HostsVersion: list.Version}}})
	ses.handle(ping(2))
	ses.drain()
	total := 0
	for i := range int64(pings) {
		version++
		ses.handle(ping(3 + i))
		_, size := ses.drain()
		total += size
		c.Check(ses.sentTable.Version(), qt.Equals, version, qt.Commentf("changes are sent"))
	}
	c.Check(total < pings*perPing, qt.IsTrue, qt.Commentf("%d bytes in %d answers", total, pings))
}

func TestEntriesWhoseListIsNotKeptFetchItAgain(t *testing.T) {
	c := qt.New(t)
	var version int64 = 1
	ses := newSession(nil, func() Rules { return Rules{} }, func() *hosts.Table { return table(version, int(version), 10) })
	list, err := ses.List(t.Context(), &cellpb.ListQuery{})
	c.Assert(err, qt.IsNil)
	for range maxKeptTables + 1 {
		version++
		_, err := ses.List(t.Context(), &cellpb.ListQuery{})
		c.Assert(err, qt.IsNil)
	}
	ses.handle(&cellpb.ToLead{Body: &cellpb.ToLead_Holds{Holds: &cellpb.Holds{HostsVersion: list.Version}}})
	c.Assert(ses.outbox, qt.HasLen, 1)
	m := (<-ses.outbox).GetHosts()
	c.Assert(m, qt.IsNotNil)
	c.Check(m.Base != 0 && m.Base != list.Version, qt.IsTrue, qt.Commentf("changes to a list that the entry does not have"))
}

func TestConfigurationsAreSentOnRequest(t *testing.T) {
	c := qt.New(t)
	body := bytes.Repeat([]byte(`{"name":"r","host":"h.example"},`), 1500)
	ses := newSession(nil, func() Rules { return Rules{Version: 7, Body: body} }, nil)
	got, err := ses.Rules(t.Context(), &cellpb.RulesQuery{NewerThan: 6})
	c.Assert(err, qt.IsNil)
	c.Check(got.Version, qt.Equals, int64(7))
	c.Check(len(got.Body) < len(body)/10, qt.IsTrue, qt.Commentf("%d of %d bytes", len(got.Body), len(body)))
	got, err = ses.Rules(t.Context(), &cellpb.RulesQuery{NewerThan: 7})
	c.Assert(err, qt.IsNil)
	c.Check(got.Body, qt.HasLen, 0)
}

func TestMalformedOrdersReachNoDispatcher(t *testing.T) {
	c := qt.New(t)
	dispatcher := &countingDispatcher{}
	ses := newSession(dispatcher, nil, nil)
	for i, stages := range [][]*cellpb.Stage{
		{{Pieces: -1}},
		{{Pieces: 1 << 30}},
		{{Pieces: 1, After: []int32{0}}},
		{{Pieces: 1}, {Pieces: 1, After: []int32{-1}}},
		{{Pieces: 1}, {Pieces: 1, After: []int32{7}}},
	} {
		id := fmt.Sprint(i)
		ses.handle(&cellpb.ToLead{Body: &cellpb.ToLead_Submit{Submit: &cellpb.Submit{Id: id, Stages: stages}}})
		d := (<-ses.outbox).GetDecision()
		c.Check([]string{d.Id, d.Refused}, qt.DeepEquals, []string{id, "failing"})
	}
	c.Check(dispatcher.orders, qt.Equals, 0)
}

// No message of another entry may cause a panic.
func FuzzMessagesOfEntries(f *testing.F) {
	for _, m := range []*cellpb.ToLead{
		ping(1),
		{Body: &cellpb.ToLead_Submit{Submit: &cellpb.Submit{Id: "a",
			Stages: []*cellpb.Stage{{Pieces: 2}, {Pieces: 1, After: []int32{0}}}}}},
		{Body: &cellpb.ToLead_Holds{Holds: &cellpb.Holds{HostsVersion: 1}}},
		{Body: &cellpb.ToLead_Notice{Notice: &cellpb.Notice{Id: "u", PauseUs: 1 << 62}}},
		{Body: &cellpb.ToLead_PermitQuery{PermitQuery: &cellpb.PermitQuery{Id: "u", ColdRate: 3}}},
		{Body: &cellpb.ToLead_Ping{Ping: &cellpb.Ping{Zones: []*cellpb.Zone{{Name: "z", Era: -1}, {}}}}},
		{},
	} {
		data, err := proto.Marshal(m)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &cellpb.ToLead{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		ses := newSession(nopDispatcher{}, func() Rules { return Rules{} }, func() *hosts.Table { return table(1, 0, 2) })
		ses.handle(m)
	})
}

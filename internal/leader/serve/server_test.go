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
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

// countingDesk counts the orders that reach it.
type countingDesk struct {
	lead.Decider
	orders int
}

func (d *countingDesk) Submit(lead.Order, func(lead.Decision)) { d.orders++ }

// anyDesk takes whatever it is given.
type anyDesk struct{}

func (anyDesk) Submit(lead.Order, func(lead.Decision))                  {}
func (anyDesk) Retry(string, string, lead.Problem, func(lead.Decision)) {}
func (anyDesk) FirstByte(string, bool)                                  {}
func (anyDesk) Ended(string, string, bool)                              {}
func (anyDesk) Crashed(uint64, string, time.Time)                       {}
func (anyDesk) UpstreamNotice(string, notices.Notice)                   {}
func (anyDesk) Served(uint64)                                           {}
func (anyDesk) Recall(string)                                           {}

// newSession returns the session of an entry of a fleet, without a connection.
func newSession(desk lead.Decider, rules func() Rules, list func() *hosts.Table) *session {
	s := New(Options{
		Dispatcher: desk, Leaving: func() bool { return false }, Leader: func() (registry.Member, bool) { return registry.Member{}, false },
		Blocked: func() []uint64 { return nil }, Rules: rules, Hosts: list,
		Crew: func() registry.View { return registry.View{Candidates: []registry.Member{{Host: "a"}}, Size: 300} }, Now: time.Now, Log: zap.NewNop(),
	})
	return &session{Server: s, outbox: make(chan *cellpb.ToEntry, outboxSize), open: map[string]bool{}}
}

func ping(n int64) *cellpb.ToLead {
	return &cellpb.ToLead{Body: &cellpb.ToLead_Ping{Ping: &cellpb.Ping{Sequence: n}}}
}

// drain returns the number and the bytes of the messages that wait.
func (ses *session) drain() (count, size int) {
	for len(ses.outbox) > 0 {
		size += proto.Size(<-ses.outbox)
		count++
	}
	return count, size
}

// A storm of configurations, and one upstream after the other that leaves, must not delay the answers to pings.
func TestPongsStaySmallInAStorm(t *testing.T) {
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
		c.Check(ses.told.Version(), qt.Equals, version, qt.Commentf("changes are told"))
	}
	c.Check(total < pings*perPing, qt.IsTrue, qt.Commentf("%d bytes in %d answers", total, pings))
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

func TestMalformedOrdersReachNoDesk(t *testing.T) {
	c := qt.New(t)
	desk := &countingDesk{}
	ses := newSession(desk, nil, nil)
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
	c.Check(desk.orders, qt.Equals, 0)
}

// Whatever bytes another process sends, they end its call at most.
func FuzzMessagesOfEntries(f *testing.F) {
	for _, m := range []*cellpb.ToLead{
		ping(1),
		{Body: &cellpb.ToLead_Submit{Submit: &cellpb.Submit{Id: "a", Stages: []*cellpb.Stage{{Pieces: 2}, {Pieces: 1, After: []int32{0}}}}}},
		{Body: &cellpb.ToLead_Holds{Holds: &cellpb.Holds{HostsVersion: 1}}},
		{Body: &cellpb.ToLead_Notice{Notice: &cellpb.Notice{Id: "u", PauseUs: 1 << 62}}},
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
		ses := newSession(anyDesk{}, func() Rules { return Rules{} }, func() *hosts.Table { return table(1, 0, 2) })
		ses.handle(m)
	})
}

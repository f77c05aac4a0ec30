package serve

import (
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/cell/board"
	"github.com/ragworthatch/ragworthatch/internal/cell/crew"
	"github.com/ragworthatch/ragworthatch/internal/cell/lead"
	"github.com/ragworthatch/ragworthatch/internal/cell/place"
	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

const outboxSize = 512 // messages to one entry

// Server is the leader's end of the connections of other entries.
type Server struct {
	cellpb.UnimplementedCellServer
	desk    lead.Leader
	leaving func() bool
	leader  func() (crew.Member, bool)
	born    int64
	blocked func() []uint64
	rules   func() Rules
	hosts   func() *hosts.Table
	now     func() time.Time
	log     *zap.Logger
}

// Rules is the configuration in force here.
type Rules struct {
	Version int64
	Body    []byte    // as the operator wrote it
	Read    time.Time // when the store last confirmed it
}

// Options are the dependencies of a Server.
type Options struct {
	Desk    lead.Leader
	Born    int64                      // Unix ms of the start of this process, as in its member record
	Leaving func() bool                // this process is shutting down
	Leader  func() (crew.Member, bool) // whom this process follows, if anybody
	Blocked func() []uint64            // fingerprints of requests that break down upstreams
	Rules   func() Rules
	Hosts   func() *hosts.Table
	Now     func() time.Time
	Log     *zap.Logger
}

// New returns a server of a desk.
func New(o Options) *Server {
	return &Server{
		desk: o.Desk, born: o.Born, leaving: o.Leaving, leader: o.Leader, blocked: o.Blocked, rules: o.Rules, hosts: o.Hosts,
		now: o.Now, log: o.Log,
	}
}

// session is the connection of one entry.
type session struct {
	*Server
	outbox chan *cellpb.ToEntry
	mu     sync.Mutex
	told   int64           // version of the list of upstreams that was sent
	ruled  int64           // version of the configuration that was sent
	open   map[string]bool // requests that have not ended
}

// Work serves one entry until its connection ends; its requests end with it.
func (s *Server) Work(stream grpc.BidiStreamingServer[cellpb.ToLead, cellpb.ToEntry]) error {
	ses := &session{Server: s, outbox: make(chan *cellpb.ToEntry, outboxSize), open: map[string]bool{}}
	done := make(chan struct{})
	defer close(done)
	defer ses.end()
	go func() {
		for {
			select {
			case m := <-ses.outbox:
				if err := stream.Send(m); err != nil {
					return
				}
			case <-done:
				return
			}
		}
	}()
	for {
		m, err := stream.Recv()
		if err != nil {
			return err
		}
		ses.handle(m)
	}
}

func (ses *session) handle(m *cellpb.ToLead) {
	switch body := m.Body.(type) {
	case *cellpb.ToLead_Hello:
		ses.log.Info("entry connected", zap.String("member", body.Hello.Host))
	case *cellpb.ToLead_Submit:
		ses.track(body.Submit.Id)
		ses.desk.Submit(orderOf(body.Submit, ses.now()), ses.reply(body.Submit.Id))
	case *cellpb.ToLead_Again:
		ses.desk.Again(body.Again.Id, body.Again.Engine, lead.Problem(body.Again.Problem), ses.reply(body.Again.Id))
	case *cellpb.ToLead_Recall:
		ses.desk.Recall(body.Recall.Id)
	case *cellpb.ToLead_FirstByte:
		ses.desk.FirstByte(body.FirstByte.Id, body.FirstByte.Keep)
	case *cellpb.ToLead_Ended:
		ses.untrack(body.Ended.Id)
		ses.desk.Ended(body.Ended.Id, body.Ended.Engine, body.Ended.Failed)
	case *cellpb.ToLead_Crashed:
		ses.desk.Crashed(body.Crashed.Fingerprint, body.Crashed.Lifetime, ses.now().Add(-time.Duration(body.Crashed.AgeUs)*time.Microsecond))
	case *cellpb.ToLead_Served:
		ses.desk.Served(body.Served.Fingerprint)
	case *cellpb.ToLead_Ping:
		ses.pong(body.Ping.Sequence)
	}
}

// pong answers a ping, after the list of upstreams if that has changed.
func (ses *session) pong(sequence int64) {
	table := ses.hosts()
	if table.Version() != ses.told {
		ses.told = table.Version()
		ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Hosts{Hosts: hostsMessage(table)}})
	}
	now := ses.now()
	rules := ses.rules()
	if rules.Version != ses.ruled {
		ses.ruled = rules.Version
		ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Rules{Rules: &cellpb.Rules{Version: rules.Version, Body: rules.Body}}})
	}
	pong := &cellpb.Pong{
		Sequence: sequence, Born: ses.born, Leaving: ses.leaving(), Blocked: ses.blocked(),
		RulesVersion: rules.Version, RulesAgeUs: now.Sub(rules.Read).Microseconds(),
		HostsVersion: table.Version(), HostsAgeUs: now.Sub(table.Read()).Microseconds(),
	}
	if leader, follows := ses.leader(); follows {
		pong.Follows = true
		if leader.Host != "" {
			pong.Leader = &cellpb.Member{Host: leader.Host, Address: leader.Address, Born: leader.Born}
		}
	}
	ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Pong{Pong: pong}})
}

func hostsMessage(t *hosts.Table) *cellpb.Hosts {
	m := &cellpb.Hosts{Version: t.Version()}
	for _, u := range t.All() {
		m.Upstreams = append(m.Upstreams, &cellpb.Upstream{
			Id: u.ID, Pool: u.Pool, Address: u.Address, Zone: u.Zone, State: string(u.State), Slots: int32(u.Slots), Born: u.Born,
		})
	}
	return m
}

func (ses *session) track(id string) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.open[id] = true
}

func (ses *session) untrack(id string) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	delete(ses.open, id)
}

// end drops the requests of an entry whose connection is gone.
func (ses *session) end() {
	ses.mu.Lock()
	open := ses.open
	ses.open = nil
	ses.mu.Unlock()
	for id := range open {
		ses.desk.Ended(id, "", false)
	}
}

func (ses *session) reply(id string) func(lead.Decision) {
	return func(d lead.Decision) {
		if d.Moved {
			ses.untrack(id) // it may come back on another connection
		}
		ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Decision{Decision: &cellpb.Decision{
			Id: id, Upstream: d.Upstream, Inputs: d.Inputs, Late: d.Late, Refused: string(d.Refused),
			RetryAfterUs: d.RetryAfter.Microseconds(), Moved: d.Moved, Pending: d.Pending, Progress: cellpb.ProgressOf(d.Progress),
		}}})
	}
}

// post never waits: an entry that does not read loses messages, and its connection by its own pings.
func (ses *session) post(m *cellpb.ToEntry) {
	select {
	case ses.outbox <- m:
	default:
		ses.log.Warn("an entry does not read its decisions")
	}
}

func orderOf(s *cellpb.Submit, now time.Time) lead.Order {
	arrived := now.Add(-time.Duration(s.AgeUs) * time.Microsecond)
	o := lead.Order{
		Fingerprint: s.Fingerprint,
		Job: board.Job{
			ID: s.Id, Request: s.Request, PieceKey: s.PieceKey, Rank: int(s.Rank), Arrived: arrived,
			Target:   arrived.Add(time.Duration(s.TargetUs) * time.Microsecond),
			Deadline: arrived.Add(time.Duration(s.DeadlineUs) * time.Microsecond),
			Progress: cellpb.BoardProgress(s.Progress),
		},
		Engine: place.Order{
			ID: s.Id, Pool: s.Pool, Zone: s.Zone, Model: s.Model, PromptTokens: int(s.PromptTokens),
			OutputTokens: int(s.OutputTokens), Exclude: s.Exclude,
		},
	}
	for _, st := range s.Stages {
		stage := board.Stage{Pool: st.Pool, Pieces: int(st.Pieces), ResultBytes: st.ResultBytes}
		for _, a := range st.After {
			stage.After = append(stage.After, int(a))
		}
		o.Job.Stages = append(o.Job.Stages, stage)
	}
	for _, p := range s.Prefix {
		o.Engine.Prefix = append(o.Engine.Prefix, call.Part{ID: p.Id, Tokens: int(p.Tokens)})
	}
	return o
}

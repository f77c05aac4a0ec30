package link

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/sock"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

const (
	unackedTimeout = 2 * time.Second // TCP_USER_TIMEOUT towards the leader
	pullTimeout    = 2 * time.Second // for the leader's configuration or list
	worthAsking    = 5 * time.Second // a list that the leader read longer ago is not asked for
	maxPacked      = 4 << 20         // bytes of a configuration or list, compressed
	maxUnpacked    = 8 << 20         // bytes of one that is not, as many as of an answer of the store
)

// goneSilent is why a leader that sends nothing can't be used.
const goneSilent = "silent"

// session is a connection to one leader.
type session struct {
	member     registry.Member
	conn       *grpc.ClientConn
	cancel     context.CancelFunc
	outbox     chan *cellpb.ToLead
	broken     atomic.Bool
	leaving    atomic.Bool
	follows    atomic.Int64 // pongs in a row that said that the leader has another one itself
	itsLeader  atomic.Pointer[registry.Member]
	pongs      chan *cellpb.Pong // the first one
	lost       bool              // that it is gone was noted; belongs to the link
	lastHeard  atomic.Int64      // nanoseconds since begun
	begun      time.Time
	sequence   atomic.Int64
	pinged     atomic.Int64                // when the newest ping was sent, in nanoseconds since begun
	hosts      atomic.Pointer[hosts.Table] // the leader's list; nil until it was asked for
	roll       *registry.View              // what the leader knows of the entries, nil until it has said so; belongs to the receiving goroutine
	replaced   atomic.Bool                 // by another leader
	replacedAt time.Time                   // belongs to the link
	now        func() time.Time
	blocked    func([]uint64)
	o          Options
	pulling    atomic.Bool // the leader's configuration is on its way
	listing    atomic.Bool // the leader's list is
}

// dial connects to a member, within a time for the connection and askTimeout for its process to take it up.
func dial(ctx context.Context, m registry.Member, o Options, limit time.Duration, decided func(string, lead.Decision)) (*session, error) {
	raw, err := sock.Dialer(limit, unackedTimeout).DialContext(ctx, "tcp4", m.Address)
	if err != nil {
		return nil, err
	}
	// One connection only: when it ends, the session ends, and the library must not make another.
	used := false
	conn, err := grpc.NewClient("passthrough:///"+m.Address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) {
			if used {
				return nil, net.ErrClosed
			}
			used = true
			return raw, nil
		}))
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	tooLate := time.AfterFunc(askTimeout, cancel)
	stream, err := cellpb.NewCellClient(conn).Work(ctx)
	tooLate.Stop()
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, err
	}
	s := &session{
		member: m, conn: conn, cancel: cancel, outbox: make(chan *cellpb.ToLead, outboxSize), begun: o.Now(), now: o.Now, pongs: make(chan *cellpb.Pong, 1),
		blocked: o.SetBlocked, o: o,
	}
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Hello{Hello: &cellpb.Hello{Host: o.Self}}})
	go s.sendAll(ctx, stream)
	go s.receiveAll(stream, decided)
	return s, nil
}

func (s *session) sendAll(ctx context.Context, stream grpc.BidiStreamingClient[cellpb.ToLead, cellpb.ToEntry]) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-s.outbox:
			if err := stream.Send(m); err != nil {
				s.broken.Store(true)
				return
			}
		}
	}
}

func (s *session) receiveAll(stream grpc.BidiStreamingClient[cellpb.ToLead, cellpb.ToEntry], decided func(string, lead.Decision)) {
	for {
		m, err := stream.Recv()
		if err != nil {
			s.broken.Store(true)
			return
		}
		s.lastHeard.Store(int64(s.now().Sub(s.begun)))
		switch body := m.Body.(type) {
		case *cellpb.ToEntry_Pong:
			s.leaving.Store(body.Pong.Leaving)
			s.itsLeader.Store(leaderOf(body.Pong))
			if body.Pong.Follows {
				s.follows.Add(1)
			} else {
				s.follows.Store(0)
			}
			select {
			case s.pongs <- body.Pong:
			default:
			}
			s.blocked(body.Pong.Blocked)
			if !s.replaced.Load() {
				s.takeOver(body.Pong)
			}
		case *cellpb.ToEntry_Hosts:
			next := withChanges(s.hosts.Load(), body.Hosts)
			if next == nil {
				s.o.Log.Warn("changes of a list of upstreams that is not known, it is asked for again",
					zap.String("member", s.member.Host), zap.Int64("base", body.Hosts.Base))
			}
			s.hosts.Store(next)
		case *cellpb.ToEntry_Crew:
			s.roll = &registry.View{Size: int(body.Crew.Size)}
			for _, m := range body.Crew.First {
				s.roll.Candidates = append(s.roll.Candidates, memberOf(m))
			}
		case *cellpb.ToEntry_Decision:
			d := body.Decision
			decided(d.Id, lead.Decision{
				Upstream: d.Upstream, Inputs: d.Inputs, Late: d.Late, Refused: sched.Reason(d.Refused),
				RetryAfter: time.Duration(d.RetryAfterUs) * time.Microsecond,
				Moved:      d.Moved, Pending: d.Pending, Progress: cellpb.BoardProgress(d.Progress),
			})
		}
	}
}

// leaderOf is whom a member follows; nil if it leads.
func leaderOf(p *cellpb.Pong) *registry.Member {
	if p.Leader == nil {
		return nil
	}
	m := memberOf(p.Leader)
	return &m
}

func memberOf(m *cellpb.Member) registry.Member {
	return registry.Member{Host: m.Host, Address: m.Address, Born: m.Born, Cores: m.Cores}
}

// takeOver passes on what the leader has read. Its ages count from the ping, which was sent before they were taken, so
// that a pong that was delayed makes nothing look newer than it is.
func (s *session) takeOver(p *cellpb.Pong) {
	if p.Sequence != s.sequence.Load() {
		return
	}
	pinged := s.begun.Add(time.Duration(s.pinged.Load()))
	ago := func(us int64) time.Time { return pinged.Add(-time.Duration(us) * time.Microsecond) }
	table := s.hosts.Load()
	switch {
	case table != nil && table.Version() == p.HostsVersion:
		table = table.WithRead(ago(p.HostsAgeUs))
	case table == nil && time.Duration(p.HostsAgeUs)*time.Microsecond < worthAsking && s.listing.CompareAndSwap(false, true):
		go s.pullList()
	default:
		table = nil
	}
	rules := watch.Sighting{Version: p.RulesVersion, Offset: p.RulesOffset, Read: ago(p.RulesAgeUs)}
	s.o.Confirm(rules, table)
	if s.roll != nil {
		s.o.ConfirmMembers(registry.View{Candidates: s.roll.Candidates, Size: s.roll.Size, Read: ago(p.CrewAgeUs)})
	}
	if s.o.LacksRules(rules) && s.pulling.CompareAndSwap(false, true) {
		go s.pull()
	}
}

// pull takes over the leader's configuration, which this entry could not read from the store.
func (s *session) pull() {
	defer s.pulling.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	got, err := cellpb.NewCellClient(s.conn).Rules(ctx, &cellpb.RulesQuery{NewerThan: s.o.RulesVersion()}, grpc.MaxCallRecvMsgSize(maxPacked))
	if err == nil && len(got.Body) > 0 {
		var body []byte
		if body, err = unpack(got.Body); err == nil {
			s.o.AdoptRules(got.Version, body)
		}
	}
	if err != nil {
		s.o.Log.Warn("the leader's configuration can't be had", zap.String("member", s.member.Host), zap.Error(err))
	}
}

// pullList takes over the leader's whole list of upstreams.
func (s *session) pullList() {
	defer s.listing.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	got, err := cellpb.NewCellClient(s.conn).List(ctx, &cellpb.ListQuery{}, grpc.MaxCallRecvMsgSize(maxPacked))
	m := &cellpb.Hosts{}
	if err == nil {
		var body []byte
		if body, err = unpack(got.Hosts); err == nil {
			err = proto.Unmarshal(body, m)
		}
	}
	if err != nil {
		s.o.Log.Warn("the leader's list of upstreams can't be had", zap.String("member", s.member.Host), zap.Error(err))
		return
	}
	m.Base = 0
	s.hosts.Store(withChanges(nil, m))
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Holds{Holds: &cellpb.Holds{HostsVersion: m.Version}}})
	s.ping() // the answer says how old the list is
}

// unpack decompresses a configuration or a list.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err == nil && len(body) > maxUnpacked {
		err = fmt.Errorf("more than %d bytes", maxUnpacked)
	}
	return body, err
}

// withChanges returns a list of upstreams after what the leader told of it; nil if that is about another list.
func withChanges(known *hosts.Table, m *cellpb.Hosts) *hosts.Table {
	byID := map[string]hosts.Upstream{}
	if m.Base != 0 {
		if known == nil || known.Version() != m.Base {
			return nil
		}
		for _, u := range known.All() {
			byID[u.ID] = u
		}
	}
	for _, id := range m.Gone {
		delete(byID, id)
	}
	for _, u := range m.Upstreams {
		byID[u.Id] = hosts.Upstream{
			ID: u.Id, Pool: u.Pool, Address: u.Address, Zone: u.Zone, State: hosts.State(u.State), Slots: int(u.Slots), Born: u.Born,
		}
	}
	return hosts.New(slices.Collect(maps.Values(byID)), time.Time{}).WithVersion(m.Version)
}

// heard is when the leader last sent anything.
func (s *session) heard() time.Time { return s.begun.Add(time.Duration(s.lastHeard.Load())) }

// gone says why the leader can't be used any more; empty while it can.
func (s *session) gone(now time.Time) string {
	switch {
	case s.broken.Load():
		return "connection broken"
	case now.Sub(s.heard()) > silentAfter:
		return goneSilent
	}
	return ""
}

// excuse gives the leader the time of a ping to be heard.
func (s *session) excuse(now time.Time) {
	if at := now.Sub(s.begun) - silentAfter + pingEvery; int64(at) > s.lastHeard.Load() {
		s.lastHeard.Store(int64(at))
	}
}

func (s *session) close() {
	s.broken.Store(true)
	s.cancel()
	_ = s.conn.Close()
}

// post never waits: a leader that takes no messages is gone.
func (s *session) post(m *cellpb.ToLead) {
	select {
	case s.outbox <- m:
	default:
		s.broken.Store(true)
	}
}

func (s *session) ping() {
	s.pinged.Store(int64(s.now().Sub(s.begun)))
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Ping{Ping: &cellpb.Ping{Sequence: s.sequence.Add(1)}}})
}

func (s *session) submit(o lead.Order) {
	now := s.now()
	m := &cellpb.Submit{
		Id: o.Job.ID, Request: o.Job.Request, PieceKey: o.Job.PieceKey, Rank: int32(o.Job.Rank),
		AgeUs: now.Sub(o.Job.Arrived).Microseconds(), TargetUs: o.Job.Target.Sub(o.Job.Arrived).Microseconds(),
		DeadlineUs: o.Job.Deadline.Sub(o.Job.Arrived).Microseconds(),
		Pool:       o.Engine.Pool, Zone: o.Engine.Zone, Model: o.Engine.Model,
		PromptTokens: int32(o.Engine.PromptTokens), OutputTokens: int32(o.Engine.OutputTokens), Exclude: o.Engine.Exclude,
		Fingerprint: o.Fingerprint,
	}
	for _, st := range o.Job.Stages {
		stage := &cellpb.Stage{Pool: st.Pool, Pieces: int32(st.Pieces), ResultBytes: st.ResultBytes}
		for _, a := range st.After {
			stage.After = append(stage.After, int32(a))
		}
		m.Stages = append(m.Stages, stage)
	}
	m.Progress = cellpb.ProgressOf(o.Job.Progress)
	for _, p := range o.Engine.Prefix {
		m.Prefix = append(m.Prefix, &cellpb.Part{Id: p.ID, Tokens: int32(p.Tokens)})
	}
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Submit{Submit: m}})
}

func (s *session) again(id, engine string, why lead.Problem) {
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Again{Again: &cellpb.Again{Id: id, Engine: engine, Problem: string(why)}}})
}

func (s *session) recall(id string) {
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Recall{Recall: &cellpb.Recall{Id: id}}})
}

func (s *session) firstByte(id string, keep bool) {
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_FirstByte{FirstByte: &cellpb.FirstByte{Id: id, Keep: keep}}})
}

func (s *session) ended(id, engine string, failed bool) {
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Ended{Ended: &cellpb.Ended{Id: id, Engine: engine, Failed: failed}}})
}

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
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/sock"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

const (
	unackedTimeout       = 2 * time.Second // TCP_USER_TIMEOUT towards the leader
	fetchTimeout         = 2 * time.Second // for the leader's configuration or list of upstreams
	maxListAge           = 5 * time.Second // a list that the leader read longer ago is not fetched
	maxCompressedBytes   = 4 << 20         // of a configuration or list
	maxDecompressedBytes = 8 << 20         // the same limit as for an answer of the store
)

// maxExhausted is the longest time without another permit query after a refusal.
const maxExhausted = 1 * time.Second

// lostSilent is the loss reason of a leader that sends nothing.
const lostSilent = "silent"

// session is a connection to one leader.
type session struct {
	member        registry.Member
	conn          *grpc.ClientConn
	cancel        context.CancelFunc
	outbox        chan *cellpb.ToLead
	broken        atomic.Bool
	leaving       atomic.Bool
	followerPongs atomic.Int64                    // consecutive pongs saying that the leader follows another member
	followed      atomic.Pointer[registry.Member] // the leader that the member itself follows; nil if none
	firstPong     chan *cellpb.Pong               // holds the first pong until it is read
	lossLogged    bool                            // used by Link.Run's goroutine only
	lastHeard     atomic.Int64                    // nanoseconds since startedAt
	startedAt     time.Time
	sequence      atomic.Int64
	pingedAt      atomic.Int64                // when the newest ping was sent, in nanoseconds since startedAt
	hosts         atomic.Pointer[hosts.Table] // the leader's list; nil until it was fetched
	members       *registry.View              // as known to the leader; nil until received. For receiveAll only
	replaced      atomic.Bool                 // another member has become the leader since
	replacedAt    time.Time                   // used by Link.Run's goroutine only
	now           func() time.Time
	opts          Options
	fetchingRules atomic.Bool                    // the leader's configuration is being fetched
	fetchingHosts atomic.Bool                    // the leader's list is being fetched
	sharedZones   atomic.Pointer[[]zones.Record] // records of evacuated zones in the last pong; nil before

	permitsMu   sync.Mutex
	permitCount int64                        // number of the last permit query
	permits     map[int64]chan time.Duration // of the queries without an answer, by number
	exhausted   map[hosts.Lifetime]time.Time // when upstreams accept a request again, as the leader said
}

// dial connects to a member within limit. Its process then has probeTimeout to accept the stream. The session passes
// the decisions that it receives to decided.
func dial(ctx context.Context, m registry.Member, o Options, limit time.Duration,
	decided func(string, lead.Decision)) (*session, error) {
	raw, err := sock.Dialer(limit, unackedTimeout).DialContext(ctx, "tcp4", m.Address)
	if err != nil {
		return nil, err
	}
	// The session ends with its connection, so gRPC must not open another one.
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
	timer := time.AfterFunc(probeTimeout, cancel)
	stream, err := cellpb.NewCellClient(conn).Work(ctx)
	timer.Stop()
	if err != nil {
		cancel()
		_ = conn.Close()
		return nil, err
	}
	s := &session{
		member: m, conn: conn, cancel: cancel, outbox: make(chan *cellpb.ToLead, outboxSize), startedAt: o.Now(),
		now: o.Now, firstPong: make(chan *cellpb.Pong, 1), opts: o,
		permits: map[int64]chan time.Duration{}, exhausted: map[hosts.Lifetime]time.Time{},
	}
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Hello{Hello: &cellpb.Hello{Host: o.Self}}})
	s.postCrashes() // before the first ping, so that each pong takes it into account
	go s.sendAll(ctx, stream)
	go s.receiveAll(stream, decided)
	return s, nil
}

// sendAll sends the messages in the outbox until ctx ends or the connection breaks.
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

// receiveAll handles the leader's messages until the connection breaks.
func (s *session) receiveAll(stream grpc.BidiStreamingClient[cellpb.ToLead, cellpb.ToEntry],
	decided func(string, lead.Decision)) {
	for {
		m, err := stream.Recv()
		if err != nil {
			s.broken.Store(true)
			return
		}
		s.lastHeard.Store(int64(s.now().Sub(s.startedAt)))
		switch body := m.Body.(type) {
		case *cellpb.ToEntry_Pong:
			s.leaving.Store(body.Pong.Leaving)
			s.followed.Store(leaderOf(body.Pong))
			if body.Pong.Follows {
				s.followerPongs.Add(1)
			} else {
				s.followerPongs.Store(0)
			}
			select {
			case s.firstPong <- body.Pong:
			default:
			}
			if !s.replaced.Load() && !body.Pong.Follows {
				s.opts.Crash.SetBlocked(body.Pong.Blocked)
				s.opts.Crash.SetBlocks(cellpb.CrashBlocks(body.Pong.Blocks, s.now()))
			}
			if !s.replaced.Load() {
				s.applyPong(body.Pong)
			}
		case *cellpb.ToEntry_Hosts:
			next := applyChanges(s.hosts.Load(), body.Hosts, s.now())
			if next == nil {
				s.opts.Log.Warn("changes of an unknown list of upstreams, asking for it again",
					zap.String("member", s.member.Host), zap.Int64("base", body.Hosts.Base))
			}
			s.hosts.Store(next)
		case *cellpb.ToEntry_Crashes:
			if known := s.opts.Crash.Merge(body.Crashes.Changes(s.now())); len(known) > 0 {
				s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Crashes{Crashes: cellpb.CrashesOf(known, s.now())}})
			}
		case *cellpb.ToEntry_Limits:
			for _, statement := range body.Limits.Statements(s.now()) {
				s.opts.Limits.Observe(statement)
			}
		case *cellpb.ToEntry_Permit:
			s.permitsMu.Lock()
			answer := s.permits[body.Permit.Number]
			delete(s.permits, body.Permit.Number)
			s.permitsMu.Unlock()
			if answer != nil {
				answer <- time.Duration(body.Permit.WaitUs) * time.Microsecond
			}
		case *cellpb.ToEntry_Crew:
			s.members = &registry.View{Size: int(body.Crew.Size)}
			for _, m := range body.Crew.First {
				s.members.Candidates = append(s.members.Candidates, memberOf(m))
			}
		case *cellpb.ToEntry_Decision:
			d := body.Decision
			decided(d.Id, lead.Decision{
				Upstream: d.Upstream, Version: d.Version, Inputs: d.Inputs, Late: d.Late, Refused: sched.Reason(d.Refused),
				RetryAfter: time.Duration(d.RetryAfterUs) * time.Microsecond,
				Moved:      d.Moved, Pending: d.Pending, Progress: cellpb.BoardProgress(d.Progress),
			})
		}
	}
}

// leaderOf returns the leader that a member follows; nil if it has none or leads.
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

// applyPong passes on what the leader has read. The ages in a pong are counted from the ping, which was sent before
// they were measured, so that a delayed pong makes nothing look newer than it is.
func (s *session) applyPong(p *cellpb.Pong) {
	// Only the time of the newest ping is kept, so an earlier pong can't be dated.
	if p.Sequence != s.sequence.Load() {
		return
	}
	pinged := s.startedAt.Add(time.Duration(s.pingedAt.Load()))
	timeBefore := func(us int64) time.Time { return pinged.Add(-time.Duration(us) * time.Microsecond) }
	table := s.hosts.Load()
	switch {
	case table != nil && table.Version() == p.HostsVersion:
		table = table.WithRead(timeBefore(p.HostsAgeUs))
	case table == nil && time.Duration(p.HostsAgeUs)*time.Microsecond < maxListAge &&
		s.fetchingHosts.CompareAndSwap(false, true):
		go s.fetchHosts()
	default:
		table = nil
	}
	s.opts.ObserveEra(p.StoreEra)
	rules := watch.Revision{Version: p.RulesVersion, Offset: p.RulesOffset, Era: p.RulesEra, ConfirmedAt: timeBefore(p.RulesAgeUs),
		Zones: cellpb.ZoneRecords(p.Zones), ZonesEra: p.ZonesEra, ZonesEnd: p.ZonesEnd, LacksZones: !p.SharesZones}
	s.sharedZones.Store(&rules.Zones)
	s.opts.Confirm(rules, table)
	if s.members != nil {
		s.opts.ConfirmMembers(registry.View{Candidates: s.members.Candidates, Size: s.members.Size,
			Read: timeBefore(p.CrewAgeUs)})
	}
	if s.opts.LacksRules(rules) && s.fetchingRules.CompareAndSwap(false, true) {
		go s.fetchRules()
	}
}

// fetchRules fetches the leader's configuration, which this entry could not read from the store.
func (s *session) fetchRules() {
	defer s.fetchingRules.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	got, err := cellpb.NewCellClient(s.conn).Rules(ctx, &cellpb.RulesQuery{NewerThan: s.opts.RulesVersion()},
		grpc.MaxCallRecvMsgSize(maxCompressedBytes))
	if err == nil && len(got.Body) > 0 {
		var body []byte
		if body, err = decompress(got.Body); err == nil {
			s.opts.AdoptRules(got.Version, body)
		}
	}
	if err != nil {
		s.opts.Log.Warn("can't fetch the leader's configuration", zap.String("member", s.member.Host), zap.Error(err))
	}
}

// fetchHosts fetches the leader's whole list of upstreams.
func (s *session) fetchHosts() {
	defer s.fetchingHosts.Store(false)
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	got, err := cellpb.NewCellClient(s.conn).List(ctx, &cellpb.ListQuery{}, grpc.MaxCallRecvMsgSize(maxCompressedBytes))
	m := &cellpb.Hosts{}
	if err == nil {
		var body []byte
		if body, err = decompress(got.Hosts); err == nil {
			err = proto.Unmarshal(body, m)
		}
	}
	if err != nil {
		s.opts.Log.Warn("the leader's list of upstreams can't be had", zap.String("member", s.member.Host), zap.Error(err))
		return
	}
	m.Base = 0 // it is a whole list
	s.hosts.Store(applyChanges(nil, m, s.now()))
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Holds{Holds: &cellpb.Holds{HostsVersion: m.Version}}})
	s.ping() // the pong says how old the list is
}

// decompress decompresses a configuration or a list, of at most maxDecompressedBytes.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err == nil && len(body) > maxDecompressedBytes {
		err = fmt.Errorf("decompressed message is larger than %d bytes", maxDecompressedBytes)
	}
	return body, err
}

// applyChanges applies the leader's changes, which have arrived at a time, to a list of upstreams. It returns nil if they
// are changes to another list.
func applyChanges(known *hosts.Table, m *cellpb.Hosts, at time.Time) *hosts.Table {
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
		up := hosts.Upstream{
			ID: u.Id, Pool: u.Pool, Address: u.Address, Zone: u.Zone, State: hosts.State(u.State), Slots: int(u.Slots),
			StartedMs: u.Born, Version: u.Version,
		}
		if u.ColdLeftUs > 0 {
			up.ColdUntilMs = at.UnixMilli() + u.ColdLeftUs/1000
		}
		byID[u.Id] = up
	}
	return hosts.New(slices.Collect(maps.Values(byID)), time.Time{}).WithVersion(m.Version)
}

// lastHeardAt returns when the leader last sent a message.
func (s *session) lastHeardAt() time.Time { return s.startedAt.Add(time.Duration(s.lastHeard.Load())) }

// lossReason returns why the leader is lost; empty while it is not.
func (s *session) lossReason(now time.Time) string {
	switch {
	case s.broken.Load():
		return "connection broken"
	case now.Sub(s.lastHeardAt()) > silenceTimeout:
		return lostSilent
	}
	return ""
}

// extendSilence gives the leader one more pingInterval to be heard.
func (s *session) extendSilence(now time.Time) {
	if at := now.Sub(s.startedAt) - silenceTimeout + pingInterval; int64(at) > s.lastHeard.Load() {
		s.lastHeard.Store(int64(at))
	}
}

func (s *session) close() {
	s.broken.Store(true)
	s.cancel()
	_ = s.conn.Close()
}

// post never blocks: a leader whose outbox is full counts as lost.
func (s *session) post(m *cellpb.ToLead) {
	select {
	case s.outbox <- m:
	default:
		s.broken.Store(true)
	}
}

// postCrashes tells a new leader what it may not know of crashes.
func (s *session) postCrashes() {
	reports, blocks := s.opts.Crash.OwnReports(), s.opts.Crash.Blocks()
	if len(reports)+len(blocks) == 0 {
		return
	}
	now := s.now()
	m := &cellpb.Crashes{Blocks: cellpb.BlocksOf(blocks, now)}
	for _, r := range reports {
		m.Crashed = append(m.Crashed, cellpb.CrashedOf(r, now))
	}
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Crashes{Crashes: m}})
}

// postLimits tells a new leader which upstreams named limits.
func (s *session) postLimits() {
	statements, _ := s.opts.Limits.Changes(0)
	statements = slices.DeleteFunc(statements, func(s pace.Statement[hosts.Lifetime]) bool { return !s.Limited })
	if len(statements) > 0 {
		s.post(limitsMessage(statements, s.now()))
	}
}

// postStreams tells a new leader of the streams that this entry has passed on.
func (s *session) postStreams() {
	m := &cellpb.Streams{}
	for key, o := range s.opts.Origins.Own() {
		m.Streams = append(m.Streams, &cellpb.Stream{Key: key, Pool: o.Pool, Version: o.Version})
	}
	if len(m.Streams) > 0 {
		s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Streams{Streams: m}})
	}
}

// postRuns tells the leader of requests that run on engines by the decision of another process.
func (s *session) postRuns(runs []place.Run, whole bool) {
	m := &cellpb.Running{Whole: whole}
	for _, r := range runs {
		m.Runs = append(m.Runs, &cellpb.Run{
			Id: r.ID, Pool: r.Pool, Engine: r.Engine, Tokens: int32(r.Tokens), Unread: int32(r.Unread),
			LeftUs: r.Until.Sub(s.now()).Microseconds(),
		})
	}
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Running{Running: m}})
}

// permit asks the leader for permission to send one request to an upstream, unless it has said that the upstream accepts
// none yet. It returns the time until the upstream accepts one, 0 if the request may be sent.
func (s *session) permit(ctx context.Context, to hosts.Lifetime) time.Duration {
	answer := make(chan time.Duration, 1)
	s.permitsMu.Lock()
	if wait := s.exhausted[to].Sub(s.now()); wait > 0 {
		s.permitsMu.Unlock()
		return wait
	}
	delete(s.exhausted, to)
	s.permitCount++
	number := s.permitCount
	s.permits[number] = answer
	s.permitsMu.Unlock()
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_PermitQuery{
		PermitQuery: &cellpb.PermitQuery{Number: number, Id: to.ID, Born: to.StartedMs,
			ColdRate: s.opts.Limits.ColdRate(to)}}})
	timeout := time.NewTimer(permitTimeout)
	defer timeout.Stop()
	wait := permitTimeout
	select {
	case wait = <-answer:
	case <-timeout.C:
	case <-ctx.Done():
	}
	s.permitsMu.Lock()
	defer s.permitsMu.Unlock()
	delete(s.permits, number)
	if wait > 0 {
		s.exhausted[to] = s.now().Add(min(wait, maxExhausted))
	}
	return wait
}

func (s *session) ping() {
	s.pingedAt.Store(int64(s.now().Sub(s.startedAt)))
	ping := &cellpb.Ping{Sequence: s.sequence.Add(1)}
	if at := s.opts.ListReadAt(); !at.IsZero() {
		ping.ListAgeUs = s.now().Sub(at).Microseconds()
	}
	if shared := s.sharedZones.Load(); shared != nil {
		ping.Zones = cellpb.ZonesOf(s.opts.Zones().NewerThan(*shared))
	}
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Ping{Ping: ping}})
}

// submit sends an order. Its times are sent as durations: its age, and target and deadline from its arrival.
func (s *session) submit(o lead.Order) {
	now := s.now()
	m := &cellpb.Submit{
		Id: o.Job.ID, Request: o.Job.RequestID, PieceKey: o.Job.PieceKey, Rank: int32(o.Job.Rank),
		AgeUs: now.Sub(o.Job.Arrived).Microseconds(), TargetUs: o.Job.Target.Sub(o.Job.Arrived).Microseconds(),
		DeadlineUs: o.Job.Deadline.Sub(o.Job.Arrived).Microseconds(),
		Pool:       o.Engine.Pool, Zone: o.Engine.Zone, Model: o.Engine.Model,
		PromptTokens: int32(o.Engine.PromptTokens), OutputTokens: int32(expectedOutput(o.Engine)), Exclude: o.Engine.Exclude,
		Fingerprint: o.Fingerprint, Stream: o.Stream.Key, TakenUp: o.Stream.TakenUp, Repeats: int32(o.Stream.Repeats),
		Version: o.Engine.Version, Route: o.Job.Route, Team: o.Job.Team, GapUs: o.Engine.Gap.Microseconds(),
		OutputLimit: int32(o.Engine.OutputLimit), OutputHint: int32(o.Engine.OutputHint),
	}
	for _, st := range o.Job.Stages {
		stage := &cellpb.Stage{Pool: st.Pool, Pieces: int32(st.Pieces), ResultBytes: st.ResultBytes}
		for _, a := range st.After {
			stage.After = append(stage.After, int32(a))
		}
		m.Stages = append(m.Stages, stage)
	}
	if f := o.Stream.Found; f.IsKnown() {
		m.Origin, m.OriginSource = &cellpb.Stream{Pool: f.Pool, Version: f.Version}, string(f.Source)
	}
	m.Progress = cellpb.ProgressOf(o.Job.Progress)
	for _, p := range o.Engine.Prefix {
		m.Prefix = append(m.Prefix, &cellpb.Part{Id: p.ID, Tokens: int32(p.Tokens)})
	}
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Submit{Submit: m}})
}

// expectedOutput returns the output tokens that a leader of an earlier release is to expect.
func expectedOutput(o place.Order) int {
	if o.OutputHint > 0 {
		return min(o.OutputHint, max(o.OutputLimit, 1))
	}
	return o.OutputLimit / 2
}

func (s *session) retry(id, engine string, why lead.Problem, begunAt string) {
	s.post(&cellpb.ToLead{Body: &cellpb.ToLead_Again{Again: &cellpb.Again{
		Id: id, Engine: engine, Problem: string(why), BegunAt: begunAt}}})
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

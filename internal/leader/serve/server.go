package serve

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

const (
	maxPieces      = 10_000          // of all stages of an order
	outboxSize     = 512             // messages to one entry
	maxSharedZones = 64              // sent in each pong
	assumeTold     = 2 * time.Second // after its start a session counts as that of an entry that has told what runs
	maxTransfers   = 8               // large answers sent at the same time, which leaves bandwidth for the other messages

	// A follower that has sent nothing for followerSilence may follow another entry. It is shorter than the delay after which
	// a share that grew counts in package pace, and several ping intervals of package link.
	followerSilence = 750 * time.Millisecond
)

// Server serves the connections of other entries, which follow this one.
type Server struct {
	owners sync.Map // *session by ID of a request: the last one that named it
	cellpb.UnimplementedCellServer
	dispatcher  lead.Decider
	leaving     func() bool
	leader      func() (registry.Member, bool)
	born        int64
	crash       *crash.Tracker
	limits      *pace.Limiter[hosts.Lifetime]
	origins     *origin.Keeper
	rules       func() Rules
	era         func() int64
	hosts       func() *hosts.Table
	observeRead func(time.Time)
	zones       func() *zones.Set
	observe     func([]zones.Record)
	members     func() registry.View
	now         func() time.Time
	log         *zap.Logger
	history     tableHistory
	transfers   chan struct{} // holds one value for each large answer that is being sent
	entries     atomic.Int64  // connected
	sessions    sync.Map      // holds each *session that is connected
	told        atomic.Int64  // connected entries that follow and have told which requests run

	compressedRules compressed
	compressedHosts compressed
}

// Rules is the configuration in force here.
type Rules struct {
	Version int64
	Body    []byte    // as the operator wrote it
	Read    time.Time // when the store last confirmed it
	Offset  int64     // in the store; -1 if unknown
	Era     int64     // of the store, in which Offset is valid
}

// Options are the dependencies of a Server.
type Options struct {
	Dispatcher lead.Decider
	Born       int64                          // Unix ms of the start of this process, as in its member record
	Leaving    func() bool                    // this process is shutting down
	Leader     func() (registry.Member, bool) // the leader that this process follows, if any
	Crash      *crash.Tracker
	Limits     *pace.Limiter[hosts.Lifetime]
	Origins    *origin.Keeper
	Rules      func() Rules
	Era        func() int64 // highest era of the store that is known
	Hosts      func() *hosts.Table
	// ObserveRead takes the times at which entries have read the upstreams from the store.
	ObserveRead func(time.Time)
	// Zones are the records of evacuated zones; ObserveZones takes those that an entry knows.
	Zones        func() *zones.Set
	ObserveZones func([]zones.Record)
	Crew         func() registry.View // the members, as other entries may rely on them
	Now          func() time.Time
	Log          *zap.Logger
}

// New returns a server that passes the orders of other entries to o.Dispatcher.
func New(o Options) *Server {
	return &Server{
		dispatcher: o.Dispatcher, born: o.Born, leaving: o.Leaving, leader: o.Leader, crash: o.Crash, limits: o.Limits,
		origins: o.Origins, rules: o.Rules, era: o.Era,
		zones: o.Zones, observe: o.ObserveZones,
		hosts: o.Hosts, observeRead: o.ObserveRead, members: o.Crew, now: o.Now, log: o.Log, transfers: make(chan struct{}, maxTransfers),
	}
}

// Entries returns the number of entries that are connected.
func (s *Server) Entries() int { return int(s.entries.Load()) }

// Followers returns the number of connected entries that have been heard within followerSilence and have not left for
// another leader.
func (s *Server) Followers() int {
	now, count := s.now(), 0
	s.sessions.Range(func(key, _ any) bool {
		ses := key.(*session)
		if at := ses.heardAt.Load(); !ses.left.Load() && at != nil && now.Sub(*at) < followerSilence {
			count++
		}
		return true
	})
	return count
}

// Told returns the number of connected entries that follow this one and have told which of their requests run on engines.
func (s *Server) Told() int { return int(s.told.Load()) }

// session is the connection of one entry.
type session struct {
	*Server
	outbox      chan *cellpb.ToEntry
	entry       string        // host name; entry, sentTable and sentMembers are used by the receiving goroutine only
	sentTable   *hosts.Table  // list of upstreams that the entry has; nil if none
	sentMembers registry.View // members that the entry was sent
	sentChanges int64         // number of the last change of crashes that the entry was sent
	sentLimits  int64         // number of the last change of limits that the entry was sent
	told        atomic.Bool
	left        atomic.Bool               // the entry follows another leader
	heardAt     atomic.Pointer[time.Time] // time of the last message; nil before the first
	mu          sync.Mutex
	open        map[string]bool // IDs of requests that have not ended
}

// Work serves one entry until its connection ends; its requests end with it.
func (s *Server) Work(stream grpc.BidiStreamingServer[cellpb.ToLead, cellpb.ToEntry]) error {
	s.entries.Add(1)
	defer s.entries.Add(-1)
	ses := &session{Server: s, outbox: make(chan *cellpb.ToEntry, outboxSize), open: map[string]bool{}}
	s.sessions.Store(ses, nil)
	defer s.sessions.Delete(ses)
	done := make(chan struct{})
	defer close(done)
	defer ses.endRequests()
	defer ses.setTold(false)
	// Entries of an earlier release do not tell. Probes end sooner.
	timer := time.AfterFunc(assumeTold, func() { ses.setTold(true) })
	defer timer.Stop()
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
		now := ses.now()
		ses.heardAt.Store(&now)
		ses.handle(m)
	}
}

// handle handles one message of the entry.
func (ses *session) handle(m *cellpb.ToLead) {
	switch body := m.Body.(type) {
	case *cellpb.ToLead_Hello:
		ses.entry = body.Hello.Host
		ses.origins.Joined()
		ses.log.Info("entry connected", zap.String("member", body.Hello.Host))
	case *cellpb.ToLead_Submit:
		order, err := decodeOrder(body.Submit, ses.now())
		if err != nil {
			ses.log.Error("can't decode an order", zap.String("member", ses.entry), zap.String("order", body.Submit.Id),
				zap.Error(err))
			ses.replyTo(body.Submit.Id)(lead.Decision{Refused: sched.Failing, RetryAfter: time.Second})
			return
		}
		ses.track(body.Submit.Id)
		order.Engine.Entry = ses.entry
		ses.dispatcher.Submit(order, ses.replyTo(body.Submit.Id))
	case *cellpb.ToLead_Again:
		ses.dispatcher.Retry(body.Again.Id, body.Again.Engine, lead.Problem(body.Again.Problem), body.Again.BegunAt,
			ses.replyTo(body.Again.Id))
	case *cellpb.ToLead_Streams:
		streams := make(map[uint64]origin.Origin, len(body.Streams.Streams))
		for _, s := range body.Streams.Streams {
			streams[s.Key] = origin.Origin{Pool: s.Pool, Version: s.Version}
		}
		ses.origins.Learn(streams)
	case *cellpb.ToLead_Running:
		if body.Running.Leaves {
			ses.left.Store(true)
			ses.setTold(false)
			return
		}
		ses.adopt(body.Running)
	case *cellpb.ToLead_Recall:
		ses.dispatcher.Recall(body.Recall.Id)
	case *cellpb.ToLead_FirstByte:
		ses.dispatcher.FirstByte(body.FirstByte.Id, body.FirstByte.Keep)
	case *cellpb.ToLead_Ended:
		ses.untrack(body.Ended.Id)
		ses.dispatcher.Ended(body.Ended.Id, body.Ended.Engine, body.Ended.Failed)
	case *cellpb.ToLead_Crashed:
		ses.dispatcher.Crashed(body.Crashed.Report(ses.now()))
	case *cellpb.ToLead_Crashes:
		now := ses.now()
		ses.crash.AddBlocks(cellpb.CrashBlocks(body.Crashes.Blocks, now))
		for _, r := range body.Crashes.Crashed {
			ses.dispatcher.Crashed(r.Report(now))
		}
		answers := &cellpb.Crashes{Answered: body.Crashes.Answered}
		ses.crash.Merge(answers.Changes(now))
	case *cellpb.ToLead_Served:
		ses.dispatcher.Served(body.Served.Fingerprint)
	case *cellpb.ToLead_Notice:
		n := body.Notice
		ses.dispatcher.UpstreamNotice(ses.entry, notices.Notice{
			Lifetime: hosts.Lifetime{ID: n.Id, StartedMs: n.Born}, Leaving: n.Leaving,
			Pause: time.Duration(n.PauseUs) * time.Microsecond,
		})
	case *cellpb.ToLead_Limits:
		for _, statement := range body.Limits.Statements(ses.now()) {
			if ses.limits.Observe(statement) {
				ses.log.Info("limit changed, another entry was told", zap.String("upstream", statement.Key.ID),
					zap.Bool("limited", statement.Limited), zap.Float64("rate", statement.Rate),
					zap.String("member", ses.entry))
			}
		}
	case *cellpb.ToLead_PermitQuery:
		q := body.PermitQuery
		wait := ses.limits.TakeCold(hosts.Lifetime{ID: q.Id, StartedMs: q.Born}, q.ColdRate)
		ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Permit{
			Permit: &cellpb.Permit{Number: q.Number, WaitUs: wait.Microseconds()}}})
	case *cellpb.ToLead_Holds:
		if ses.sentTable = ses.history.get(body.Holds.HostsVersion); ses.sentTable == nil {
			// The list is not kept any more. After changes to one that it does not have, the entry fetches the list again.
			ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Hosts{Hosts: &cellpb.Hosts{Base: unknownTable}}})
		}
	case *cellpb.ToLead_Ping:
		if age := body.Ping.ListAgeUs; age > 0 {
			ses.observeRead(ses.now().Add(-time.Duration(age) * time.Microsecond))
		}
		ses.observe(cellpb.ZoneRecords(body.Ping.Zones))
		ses.pong(body.Ping.Sequence)
	}
}

// pong answers a ping, after sending changes of the upstreams and members. The first pong says who leads, and nothing
// may delay it.
func (ses *session) pong(sequence int64) {
	table := ses.hosts()
	if ses.sentTable != nil && table.Version() != ses.sentTable.Version() {
		ses.history.add(table)
		if ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Hosts{Hosts: ses.history.changes(ses.sentTable, table, ses.now())}}) {
			ses.sentTable = table
		}
	}
	view := ses.members()
	if sequence > 1 && (view.Size != ses.sentMembers.Size ||
		!slices.Equal(view.Candidates, ses.sentMembers.Candidates)) && ses.post(membersMessage(view)) {
		ses.sentMembers = view
	}
	now := ses.now()
	if sequence > 1 {
		ses.postCrashes(now)
		ses.postLimits(now)
	}
	rules := ses.rules()
	pong := &cellpb.Pong{
		Sequence: sequence, Born: ses.born, Leaving: ses.leaving(), Blocked: ses.crash.BlockedFingerprints(),
		Blocks:       cellpb.BlocksOf(ses.crash.Blocks(), now),
		RulesVersion: rules.Version, RulesAgeUs: now.Sub(rules.Read).Microseconds(), RulesOffset: rules.Offset,
		RulesEra: rules.Era, StoreEra: ses.era(),
		HostsVersion: table.Version(), HostsAgeUs: now.Sub(table.Read()).Microseconds(),
		CrewAgeUs: now.Sub(view.Read).Microseconds(),
	}
	// More zones would make pongs large; entries read the records from the store then.
	if known := ses.zones(); len(known.Records()) <= maxSharedZones {
		pong.SharesZones, pong.Zones = true, cellpb.ZonesOf(known.Records())
		pong.ZonesEra, pong.ZonesEnd = known.End()
	}
	if leader, follows := ses.leader(); follows {
		pong.Follows = true
		if leader.Host != "" {
			pong.Leader = memberMessage(leader)
		}
	}
	ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Pong{Pong: pong}})
}

// postCrashes sends the entry what was learned of crashes.
func (ses *session) postCrashes(now time.Time) {
	changes, last := ses.crash.Changes(ses.sentChanges)
	if len(changes) == 0 || ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Crashes{Crashes: cellpb.CrashesOf(changes, now)}}) {
		ses.sentChanges = last
	}
}

// postLimits sends the entry what was learned of limits.
func (ses *session) postLimits(now time.Time) {
	statements, last := ses.limits.Changes(ses.sentLimits)
	if len(statements) == 0 || ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Limits{Limits: cellpb.LimitsOf(statements, now)}}) {
		ses.sentLimits = last
	}
}

func memberMessage(m registry.Member) *cellpb.Member {
	return &cellpb.Member{Host: m.Host, Address: m.Address, Born: m.Born, Cores: m.Cores}
}

func membersMessage(r registry.View) *cellpb.ToEntry {
	m := &cellpb.Crew{Size: int32(r.Size)}
	for _, member := range r.Candidates {
		m.First = append(m.First, memberMessage(member))
	}
	return &cellpb.ToEntry{Body: &cellpb.ToEntry_Crew{Crew: m}}
}

// adopt counts the requests of the entry that run by the decision of another leader.
func (ses *session) adopt(m *cellpb.Running) {
	now := ses.now()
	runs := make([]place.Run, 0, len(m.Runs))
	for _, r := range m.Runs {
		ses.track(r.Id)
		runs = append(runs, place.Run{
			ID: r.Id, Pool: r.Pool, Engine: r.Engine, Tokens: int(r.Tokens), Unread: int(r.Unread),
			Until: now.Add(time.Duration(r.LeftUs) * time.Microsecond),
		})
	}
	ses.dispatcher.Adopt(ses.entry, runs, m.Whole)
	if m.Whole {
		ses.setTold(true)
	}
}

// setTold counts the session among those of entries that follow and have told which requests run, or no longer.
func (ses *session) setTold(told bool) {
	if ses.told.Swap(told) == told {
		return
	}
	if told {
		ses.Server.told.Add(1)
		return
	}
	ses.Server.told.Add(-1)
}

// track notes that a request is open, so that it ends with the connection.
func (ses *session) track(id string) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.open[id] = true
	ses.owners.Store(id, ses)
}

func (ses *session) untrack(id string) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	delete(ses.open, id)
	ses.owners.CompareAndDelete(id, ses)
}

// endRequests ends the requests of an entry whose connection has closed.
func (ses *session) endRequests() {
	ses.mu.Lock()
	open := ses.open
	ses.open = nil
	ses.mu.Unlock()
	// An entry that has connected again may have submitted a request again before its former connection ended here.
	maps.DeleteFunc(open, func(id string, _ bool) bool { return !ses.owners.CompareAndDelete(id, ses) })
	ses.dispatcher.Abandon(slices.Collect(maps.Keys(open)))
	for id := range open {
		ses.dispatcher.Ended(id, "", false)
	}
}

// replyTo returns a function that sends the entry a decision on a request.
func (ses *session) replyTo(id string) func(lead.Decision) {
	return func(d lead.Decision) {
		if d.Moved {
			ses.untrack(id) // the entry may submit it again on another connection
		}
		ses.post(&cellpb.ToEntry{Body: &cellpb.ToEntry_Decision{Decision: &cellpb.Decision{
			Id: id, Upstream: d.Upstream, Version: d.Version, Inputs: d.Inputs, Late: d.Late, Refused: string(d.Refused),
			RetryAfterUs: d.RetryAfter.Microseconds(), Moved: d.Moved, Pending: d.Pending,
			Progress: cellpb.ProgressOf(d.Progress),
		}}})
	}
}

// post queues a message for the entry and reports whether there was room. It never blocks: an entry that does not read
// loses messages, and closes its connection as it misses pongs.
func (ses *session) post(m *cellpb.ToEntry) bool {
	select {
	case ses.outbox <- m:
		return true
	default:
		ses.log.Warn("an entry does not read its decisions", zap.String("member", ses.entry))
		return false
	}
}

// decodeOrder decodes and checks an order of another entry, which may run another version of the program.
func decodeOrder(s *cellpb.Submit, now time.Time) (lead.Order, error) {
	arrived := now.Add(-time.Duration(s.AgeUs) * time.Microsecond)
	o := lead.Order{
		Fingerprint: s.Fingerprint,
		Stream: lead.Stream{Key: s.Stream, TakenUp: s.TakenUp, Repeats: int(s.Repeats), Found: origin.Found{
			Origin: origin.Origin{Pool: s.GetOrigin().GetPool(), Version: s.GetOrigin().GetVersion()},
			Source: origin.Source(s.OriginSource),
		}},
		Job: sched.Job{
			ID: s.Id, RequestID: s.Request, PieceKey: s.PieceKey, Rank: int(s.Rank), Route: s.Route, Team: s.Team, Arrived: arrived,
			Target:   arrived.Add(time.Duration(s.TargetUs) * time.Microsecond),
			Deadline: arrived.Add(time.Duration(s.DeadlineUs) * time.Microsecond),
			Progress: cellpb.BoardProgress(s.Progress),
		},
		Engine: place.Order{
			ID: s.Id, Pool: s.Pool, Zone: s.Zone, Model: s.Model, PromptTokens: int(s.PromptTokens),
			OutputHint: int(s.OutputHint), Deadline: arrived.Add(time.Duration(s.DeadlineUs) * time.Microsecond), Exclude: s.Exclude, Version: s.Version,
			OutputLimit: int(s.OutputLimit), Route: s.Route, Rank: int(s.Rank), Target: time.Duration(s.TargetUs) * time.Microsecond,
			Gap: time.Duration(s.GapUs) * time.Microsecond,
		},
	}
	if s.OutputLimit == 0 && s.OutputHint == 0 {
		o.Engine.OutputHint = int(s.OutputTokens) // all that an entry of an earlier release says
	}
	pieces := 0
	for i, st := range s.Stages {
		if pieces += int(st.Pieces); st.Pieces < 0 || pieces > maxPieces {
			return lead.Order{}, fmt.Errorf("stage %d has %d pieces: negative, or too many with the stages before it",
				i, st.Pieces)
		}
		stage := sched.Stage{Pool: st.Pool, Pieces: int(st.Pieces), ResultBytes: st.ResultBytes}
		for _, a := range st.After {
			if a < 0 || int(a) >= i {
				return lead.Order{}, fmt.Errorf("stage %d can't come after stage %d", i, a)
			}
			stage.After = append(stage.After, int(a))
		}
		o.Job.Stages = append(o.Job.Stages, stage)
	}
	for _, p := range s.Prefix {
		o.Engine.Prefix = append(o.Engine.Prefix, call.PrefixBlock{ID: p.Id, Tokens: int(p.Tokens)})
	}
	return o, nil
}

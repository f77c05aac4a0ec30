package link

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
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
	pingInterval   = 250 * time.Millisecond
	silenceTimeout = 800 * time.Millisecond // without a message from the leader, after which it counts as lost
	dialTimeout    = 600 * time.Millisecond // for the TCP connection to a member
	probeTimeout   = 400 * time.Millisecond // for the first pong of a member that is asked to lead
	replacedTTL    = 8 * time.Second        // during which a replaced leader may decide on the orders that it has
	outboxSize     = 512                    // messages to the leader

	// A member that can't lead is not asked again for a time that depends on the reason. The time for a silent member,
	// which may only have been busy, starts short and doubles with each silence. It is reset once the member has been
	// followed for silentBackoffReset.
	brokenBackoff      = 3 * time.Second // the connection broke
	minSilentBackoff   = 1 * time.Second
	maxSilentBackoff   = 8 * time.Second
	silentBackoffReset = 10 * time.Second
	leavingBackoff     = 10 * time.Second // the member is shutting down
	followerBackoff    = 2 * time.Second  // the member follows another one

	maxFollowerPongs = 2 // consecutive pongs saying that the leader follows another one, after which it is left
	// A member that follows a lost leader is probed so many times, once in each pingInterval, before it is treated as any
	// other follower.
	maxStaleProbes = 6
	hintTTL        = 2 * time.Second // how long the leader of another entry is preferred

	// These hold while this process starts.
	electionTimeout      = 750 * time.Millisecond // to find the leader: time to read the members and for one probe
	shortElectionTimeout = 250 * time.Millisecond // instead, once the members were read; others that start are listed then
	membersReadTimeout   = 150 * time.Millisecond // to read the members
	leaderReadTimeout    = 1 * time.Second        // to hear from the leader what it has read
	startupProbeInterval = 80 * time.Millisecond  // between checks after it; the members may be starting, too
	startupCheckInterval = 25 * time.Millisecond  // between checks until the first probe
	startupDialTimeout   = 200 * time.Millisecond // instead of dialTimeout, as other members may not have started yet
	startupBrokenBackoff = 300 * time.Millisecond // instead of brokenBackoff

	permitTimeout = 150 * time.Millisecond // for the leader's answer to a permit query

	largeFleetSize = 128 // members; from this size on, entries that start don't all read the same from the store
)

// Options are the dependencies of a Link.
type Options struct {
	Self        string // host name of this entry
	Local       lead.Decider
	Members     func() []registry.Member // known members, best candidate first
	MemberCount func() int               // number of all members
	MembersRead func() bool              // the members were read, so Members includes a leader that exists
	Crash       *crash.Tracker           // takes on what the leader knows of crashes
	Limits      *pace.Limiter[hosts.Lifetime]
	Origins     *origin.Keeper // of the streams that this entry passes on
	// Confirm applies what the leader has read from the store: the version of the configuration, and the upstreams.
	Confirm        func(rules watch.Revision, table *hosts.Table)
	Zones          func() *zones.Set   // the records of evacuated zones that this entry knows
	ListReadAt     func() time.Time    // when this entry last read the upstreams from the store; zero if it has not
	ConfirmMembers func(registry.View) // applies what the leader has read of the members
	// AdoptRules applies the leader's configuration, as the operator wrote it.
	AdoptRules   func(version int64, rules []byte)
	RulesVersion func() int64 // of the configuration in force in this process
	ObserveEra   func(int64)  // applies the highest era of the store that the leader knows
	// LacksRules reports whether this process can't get from the store a configuration that the leader has.
	LacksRules func(rules watch.Revision) bool
	// Notices lists what upstreams told this entry and still holds.
	Notices func() []notices.Notice
	Leaving func() bool // this entry is shutting down and must not lead
	Now     func() time.Time
	Log     *zap.Logger
}

// pending is a request that has not ended.
type pending struct {
	order   lead.Order
	reply   func(lead.Decision)
	session *session // nil if the local decider has it

	queued     bool             // until a leader is found
	progress   []sched.Progress // as last reported by the dispatcher
	progressAt time.Time

	engine string // that was picked; empty before the decision
	begun  bool   // its answer has begun
}

// run describes a decided order to a leader that has not decided on it.
func (p *pending) run() place.Run {
	e := p.order.Engine
	r := place.Run{ID: e.ID, Pool: e.Pool, Engine: p.engine, Tokens: e.MaxTokens(), Until: e.Deadline}
	if !p.begun {
		r.Unread = e.UniqueTokens()
	}
	return r
}

// setResumePoint makes the next dispatcher resume the order from the progress that was last reported.
func (p *pending) setResumePoint(now time.Time) {
	p.order.Job.Progress = sched.AgeProgress(p.progress, now.Sub(p.progressAt))
	p.progress = nil
}

// Link is a Dispatcher that passes orders to the leader, or to the local decider while this entry leads. It is safe for
// concurrent use.
type Link struct {
	opts      Options
	mu        sync.Mutex
	current   *session   // nil while this entry leads
	replaced  []*session // leaders that were replaced and may still decide on the orders that they have
	requests  map[string]*pending
	startedAt time.Time

	isFirst   bool      // this entry comes first among the members that were read
	mayLeadAt time.Time // this entry does not lead others before this time
	elected   bool      // a leader was found, or this entry leads; orders wait until then

	// The fields below belong to Run's goroutine.
	backoffs        map[string]memberBackoff // by host
	silentBackoffs  map[string]time.Duration // last backoff for a silence, by host
	checkedAt       time.Time                // when the leader was last checked
	hinted          registry.Member          // leader that another entry follows
	hintedAt        time.Time
	staleProbesLeft int  // probes left for a member that follows a lost leader
	probing         bool // a probe is in flight
	hasProbed       bool // a probe was sent since the start
	membersKnown    bool // the members were read
	probed          chan probeResult
}

// memberBackoff keeps one process of a member from being asked to lead until a time.
type memberBackoff struct {
	born     int64
	until    time.Time
	follower bool // because it followed another member
}

var _ lead.Dispatcher = (*Link)(nil)

// New returns a link. Orders wait until Run has found a leader, or for electionTimeout.
func New(o Options) *Link {
	return &Link{
		opts: o, startedAt: o.Now(), requests: map[string]*pending{}, backoffs: map[string]memberBackoff{},
		silentBackoffs: map[string]time.Duration{}, staleProbesLeft: maxStaleProbes, probed: make(chan probeResult, 1),
	}
}

// Run finds the leader and keeps a connection to it until ctx ends.
func (l *Link) Run(ctx context.Context) {
	l.mu.Lock()
	l.mayLeadAt = l.opts.Now().Add(electionTimeout)
	l.mu.Unlock()
	ticker := time.NewTicker(startupCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.check(ctx)
		switch {
		case l.isElected():
			ticker.Reset(pingInterval)
		case l.hasProbed:
			ticker.Reset(startupProbeInterval)
		}
		l.waitForTick(ctx, ticker.C)
	}
}

// waitForTick waits until the next check is due, and handles probes that end meanwhile.
func (l *Link) waitForTick(ctx context.Context, tick <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			return
		case r := <-l.probed:
			l.probing = false
			if l.handleProbe(r) {
				return
			}
		}
	}
}

// check checks the leader, and probes the preferred member unless that is this entry or the leader already. The probe
// goes on after check returns.
func (l *Link) check(ctx context.Context) {
	now := l.opts.Now()
	l.shortenElection(now)
	l.checkReplaced(now)
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
	healthy := current != nil && l.checkCurrent(current, now)
	preferred := l.preferredLeader(now)
	l.setFirst(l.membersKnown && preferred.Host == l.opts.Self)
	switch {
	case healthy && preferred.Same(current.member):
	case preferred.Host == l.opts.Self:
		if current != nil {
			l.setLeader(preferred, nil)
		}
		if !now.Before(l.mayLeadAt) {
			l.finishElection()
		}
	case !l.probing:
		// A probe may take longer than silenceTimeout, so it must not delay the pings to the present leader.
		l.probing, l.hasProbed = true, true
		limit := dialTimeout
		if !l.isElected() {
			limit = startupDialTimeout
		}
		go func() { l.probed <- probe(ctx, preferred, l.opts, limit, l.decided) }()
	}
}

func (l *Link) setFirst(first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isFirst = first
}

// DefersReads reports whether this process, which has just started, should take the configuration and the lists from
// the leader and not read them from the store. In a small fleet each entry reads for itself, which is faster.
func (l *Link) DefersReads() bool {
	now := l.opts.Now()
	if !l.opts.MembersRead() {
		return now.Sub(l.startedAt) < membersReadTimeout
	}
	if l.opts.MemberCount() < largeFleetSize || now.Sub(l.startedAt) > leaderReadTimeout {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isFirst && (!l.elected || l.current != nil)
}

// shortenElection shortens the wait of a starting process for a leader, once the members were read.
func (l *Link) shortenElection(now time.Time) {
	if l.membersKnown || !l.opts.MembersRead() {
		return
	}
	l.membersKnown = true
	l.mu.Lock()
	defer l.mu.Unlock()
	if from := now.Add(shortElectionTimeout); from.Before(l.mayLeadAt) {
		l.mayLeadAt = from
	}
}

// checkCurrent pings the leader and reports whether it is alive.
func (l *Link) checkCurrent(current *session, now time.Time) bool {
	// While this process was not running it heard nothing, which doesn't count as a silence of the leader.
	if now.Sub(l.checkedAt) > 2*pingInterval {
		current.extendSilence(now)
	}
	l.checkedAt = now
	if reason := current.lossReason(now); reason != "" {
		if !current.lossLogged {
			current.lossLogged = true
			l.opts.Log.Info("leader lost", zap.String("member", current.member.Host), zap.String("reason", reason),
				zap.Duration("silent", now.Sub(current.lastHeardAt())))
		}
		if reason == lostSilent {
			l.backOffSilent(current.member)
		} else {
			l.backOff(current.member, brokenBackoff)
		}
		return false
	}
	if now.Sub(current.startedAt) > silentBackoffReset {
		delete(l.silentBackoffs, current.member.Host)
	}
	current.ping()
	if current.leaving.Load() {
		l.backOff(current.member, leavingBackoff)
	}
	if current.followerPongs.Load() >= maxFollowerPongs {
		l.backOffFollower(current.member)
		l.noteHint(current.followed.Load())
	}
	return true
}

// handleProbe makes a probed member the leader, unless it refused. It reports whether to check again at once.
func (l *Link) handleProbe(r probeResult) (recheck bool) {
	if r.refusal == "" {
		if l.isElected() && l.Leads() {
			l.opts.Log.Info("leaders met, this one follows the other", zap.String("member", r.member.Host))
		}
		l.setLeader(r.member, r.session)
		return true
	}
	l.opts.Log.Info("member does not lead", zap.String("member", r.member.Host), zap.String("reason", string(r.refusal)),
		zap.Error(r.err))
	switch r.refusal {
	case refusedLeaving:
		l.backOff(r.member, leavingBackoff)
	case refusedFollower:
		if l.staleProbesLeft > 0 && l.mayBeStale(r.leader) {
			if r.leader != nil || l.isElected() {
				l.staleProbesLeft--
			}
			return false
		}
		l.backOffFollower(r.member)
		l.noteHint(r.leader)
	case refusedSilent:
		l.backOffSilent(r.member)
	default:
		l.backOff(r.member, l.unreachableBackoff())
	}
	return true
}

// unreachableBackoff returns the backoff of a member that can't be reached. It is short while this process starts, as
// others may be starting, too.
func (l *Link) unreachableBackoff() time.Duration {
	if !l.isElected() {
		return startupBrokenBackoff
	}
	return brokenBackoff
}

// mayBeStale reports whether a member that follows this leader may not have noticed yet that it is lost or leaving. The
// leader is nil if the member has just started and has none yet.
func (l *Link) mayBeStale(leader *registry.Member) bool {
	if leader == nil || leader.Host == l.opts.Self {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil && leader.Same(l.current.member)
}

// backOff keeps a process of a member from being probed for a while.
func (l *Link) backOff(m registry.Member, d time.Duration) {
	l.backoffs[m.Host] = memberBackoff{born: m.Born, until: l.opts.Now().Add(d)}
}

// backOffSilent keeps a member that did not answer in time from being probed, each time for longer.
func (l *Link) backOffSilent(m registry.Member) {
	d := min(maxSilentBackoff, max(minSilentBackoff, 2*l.silentBackoffs[m.Host]))
	l.silentBackoffs[m.Host] = d
	l.backOff(m, d)
}

// backOffFollower keeps a member that follows another from being probed, unless an entry is found that follows it.
func (l *Link) backOffFollower(m registry.Member) {
	l.backoffs[m.Host] = memberBackoff{born: m.Born, until: l.opts.Now().Add(followerBackoff), follower: true}
}

// noteHint remembers the leader that another entry follows, as that entry may know better.
func (l *Link) noteHint(m *registry.Member) {
	if m == nil {
		return
	}
	if b := l.backoffs[m.Host]; b.born == m.Born && b.follower {
		delete(l.backoffs, m.Host) // it leads by now
	}
	l.hinted, l.hintedAt = *m, l.opts.Now()
}

// preferredLeader returns the member that this entry should follow: the leader of another entry, or the first member
// without a backoff.
func (l *Link) preferredLeader(now time.Time) registry.Member {
	if now.Sub(l.hintedAt) < hintTTL && l.eligible(l.hinted, now) {
		return l.hinted
	}
	for _, m := range l.opts.Members() {
		if l.eligible(m, now) {
			return m
		}
	}
	return registry.Member{Host: l.opts.Self}
}

// eligible reports whether a member may be asked to lead, or this entry may lead, at this time.
func (l *Link) eligible(m registry.Member, now time.Time) bool {
	if m.Host == l.opts.Self {
		return !l.opts.Leaving()
	}
	b, known := l.backoffs[m.Host]
	return !known || b.born != m.Born || !now.Before(b.until)
}

// setLeader makes a member the leader, or this entry if the session is nil.
func (l *Link) setLeader(m registry.Member, next *session) {
	now := l.opts.Now()
	l.mu.Lock()
	before := l.current
	l.current = next
	alive := before != nil && before.lossReason(now) == ""
	if alive {
		before.replacedAt = now
		before.replaced.Store(true)
		l.replaced = append(l.replaced, before)
	}
	l.mu.Unlock()
	if next != nil {
		for _, n := range l.opts.Notices() {
			next.post(noticeMessage(n))
		}
		next.postLimits()
		next.postStreams()
	}
	l.tellRuns(next, before)
	l.staleProbesLeft = maxStaleProbes
	l.opts.Log.Info("leader", zap.String("member", m.Host), zap.Bool("before", alive))
	if before != nil && !alive {
		l.dropSession(before)
		return
	}
	l.recall(before)
	l.finishElection()
}

// tellRuns tells a new leader, or the local decider if next is nil, which requests run on engines, and the one before that
// this entry has left it.
func (l *Link) tellRuns(next, before *session) {
	if before != nil {
		before.post(&cellpb.ToLead{Body: &cellpb.ToLead_Running{Running: &cellpb.Running{Leaves: true}}})
	}
	l.mu.Lock()
	var runs []place.Run
	for _, p := range l.requests {
		if p.engine != "" {
			runs = append(runs, p.run())
		}
	}
	if next != nil {
		next.postRuns(runs, true) // before the end of any of them
	}
	l.mu.Unlock()
	if next == nil {
		l.opts.Local.Adopt(l.opts.Self, runs, true)
	}
}

// finishElection submits the orders that waited for a leader.
func (l *Link) finishElection() {
	l.mu.Lock()
	var waiting []submission
	if !l.elected {
		for _, p := range l.requests {
			if p.queued {
				p.queued, p.session = false, l.current
				waiting = append(waiting, p.submission())
			}
		}
	}
	l.elected = true
	l.mu.Unlock()
	if len(waiting) > 0 {
		l.opts.Log.Info("orders waited for a leader", zap.Int("orders", len(waiting)))
	}
	for _, s := range waiting {
		l.submit(s)
	}
}

func (l *Link) isElected() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elected
}

// recall asks a replaced leader, or this entry if nil, to give its undecided orders back.
func (l *Link) recall(before *session) {
	for _, id := range l.undecided(before) {
		if before == nil {
			l.opts.Local.Recall(id)
			continue
		}
		before.recall(id)
	}
}

// undecided returns the IDs of the orders at a leader, or at the local decider if nil, that have no decision yet.
func (l *Link) undecided(at *session) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id, p := range l.requests {
		if p.session == at && p.reply != nil {
			ids = append(ids, id)
		}
	}
	return ids
}

// checkReplaced pings the replaced leaders and drops those that are lost or whose time is over.
func (l *Link) checkReplaced(now time.Time) {
	l.mu.Lock()
	replaced := l.replaced
	l.replaced = nil
	l.mu.Unlock()
	for _, s := range replaced {
		if s.lossReason(now) != "" || now.Sub(s.replacedAt) > replacedTTL {
			l.dropSession(s)
			continue
		}
		s.ping()
		l.mu.Lock()
		l.replaced = append(l.replaced, s)
		l.mu.Unlock()
	}
}

// dropSession closes the connection to a leader and submits its undecided orders to the present one.
func (l *Link) dropSession(s *session) {
	s.close()
	l.mu.Lock()
	now, resumed := l.opts.Now(), 0
	var moved []submission
	for _, p := range l.requests {
		if p.session == s && p.reply != nil {
			p.session = l.current
			p.setResumePoint(now)
			p.order.Stream.Repeats++
			if len(p.order.Job.Progress) > 0 {
				resumed++
			}
			moved = append(moved, p.submission())
		}
	}
	l.mu.Unlock()
	if len(moved) > 0 {
		l.opts.Log.Info("orders moved to the present leader", zap.String("from", s.member.Host),
			zap.Int("orders", len(moved)), zap.Int("resumed", resumed))
	}
	for _, m := range moved {
		l.submit(m)
	}
}

// Submit asks the leader for a decision.
func (l *Link) Submit(o lead.Order, reply func(lead.Decision)) {
	l.mu.Lock()
	queued := !l.elected
	p := &pending{order: o, reply: reply, session: l.current, queued: queued}
	l.requests[o.Job.ID] = p
	first := p.submission()
	l.mu.Unlock()
	if !queued {
		l.submit(first)
	}
}

// submission is an order on its way to a leader, or to the local decider if session is nil.
type submission struct {
	order   lead.Order
	session *session
}

// submission returns the order as it is to be submitted now. The caller holds the link's mu, as the order may move on.
func (p *pending) submission() submission { return submission{order: p.order, session: p.session} }

// submit sends an order to the leader or the local decider, as its session says.
func (l *Link) submit(s submission) {
	id := s.order.Job.ID
	if s.session == nil {
		l.opts.Local.Submit(s.order, func(d lead.Decision) { l.decided(id, d) })
	} else {
		s.session.submit(s.order)
	}
	l.mu.Lock()
	_, open := l.requests[id]
	l.mu.Unlock()
	switch { // it may have ended meanwhile, and its end may have come before it
	case open:
	case s.session == nil:
		l.opts.Local.Ended(id, "", false)
	default:
		s.session.ended(id, "", false)
	}
}

// decided handles a decision: it is passed to its request, or its progress is kept or submitted to the present leader.
func (l *Link) decided(id string, d lead.Decision) {
	l.mu.Lock()
	p := l.requests[id]
	var reply func(lead.Decision)
	if p != nil && d.Pending {
		p.progress, p.progressAt = d.Progress, l.opts.Now()
		l.mu.Unlock()
		return
	}
	if p != nil && d.Moved {
		p.order.Job.Progress, p.progress = d.Progress, nil
		p.session = l.current
		next := p.submission()
		l.mu.Unlock()
		l.submit(next)
		return
	}
	var lateRun []place.Run // that the present leader does not know
	current := l.current
	if p != nil {
		reply, p.reply = p.reply, nil
		p.engine, p.begun = d.Upstream, false
		if d.Upstream != "" && p.session != current {
			lateRun = append(lateRun, p.run())
		}
	}
	l.mu.Unlock()
	switch {
	case len(lateRun) == 0:
	case current == nil:
		l.opts.Local.Adopt(l.opts.Self, lateRun, false)
	default:
		current.postRuns(lateRun, false)
	}
	if reply != nil {
		reply(d)
	}
}

// Retry asks for another decision, from the present leader if the one that decided is lost.
func (l *Link) Retry(id, engine string, why lead.Problem, begunAt string, reply func(lead.Decision)) {
	l.mu.Lock()
	p := l.requests[id]
	if p == nil {
		l.mu.Unlock()
		reply(lead.Decision{Refused: sched.Failing, RetryAfter: time.Second})
		return
	}
	p.reply, p.engine = reply, ""
	p.order.Engine.Exclude = append(p.order.Engine.Exclude, engine)
	if begunAt != "" {
		p.order.Engine.Version = begunAt
	}
	p.order.Stream.Repeats++
	moved := p.session != nil && p.session.lossReason(l.opts.Now()) != ""
	if moved {
		p.session, p.order.Job.Progress = l.current, nil
		if p.session != nil && p.session.lossReason(l.opts.Now()) != "" {
			p.session = nil
		}
	}
	ses, next := p.session, p.submission()
	l.mu.Unlock()
	switch {
	case moved:
		l.submit(next)
	case ses == nil:
		l.opts.Local.Retry(id, engine, why, begunAt, func(d lead.Decision) { l.decided(id, d) })
	default:
		ses.retry(id, engine, why, begunAt)
	}
}

// FirstByte tells the leader that made the decision that the answer has begun.
func (l *Link) FirstByte(id string, keep bool) {
	l.mu.Lock()
	current, p := l.current, l.requests[id]
	if p == nil {
		l.mu.Unlock()
		return
	}
	ses := p.session
	p.begun = true
	l.mu.Unlock()
	tell := func(ses *session) {
		if ses == nil {
			l.opts.Local.FirstByte(id, keep)
			return
		}
		ses.firstByte(id, keep)
	}
	tell(ses)
	if current != ses {
		tell(current) // which knows of the request as one that runs
	}
}

// Ended tells the leader that made the decision that the request is over.
func (l *Link) Ended(id, engine string, failed bool) {
	l.mu.Lock()
	current, p := l.current, l.requests[id]
	if p == nil {
		l.mu.Unlock()
		return
	}
	delete(l.requests, id)
	decider := p.session
	l.mu.Unlock()
	tell := func(ses *session, failed bool) {
		if ses == nil {
			l.opts.Local.Ended(id, engine, failed)
			return
		}
		ses.ended(id, engine, failed)
	}
	tell(decider, failed)
	if current != decider {
		tell(current, false) // the other one counts the failure
	}
}

// Crashed tells the leader of a crash, as the leader counts the crashes that all entries see.
func (l *Link) Crashed(r crash.Report) {
	l.opts.Local.Crashed(r)
	l.sendToLeader(&cellpb.ToLead{Body: &cellpb.ToLead_Crashed{Crashed: cellpb.CrashedOf(r, l.opts.Now())}})
}

// Served tells the leader that a request was answered under which an upstream crashed before.
func (l *Link) Served(fingerprint uint64) {
	l.opts.Local.Served(fingerprint)
	l.sendToLeader(&cellpb.ToLead{Body: &cellpb.ToLead_Served{Served: &cellpb.Served{Fingerprint: fingerprint}}})
}

// UpstreamNotice tells the leader what an upstream told this entry.
func (l *Link) UpstreamNotice(entry string, n notices.Notice) {
	l.opts.Local.UpstreamNotice(entry, n)
	l.sendToLeader(noticeMessage(n))
}

func noticeMessage(n notices.Notice) *cellpb.ToLead {
	return &cellpb.ToLead{Body: &cellpb.ToLead_Notice{Notice: &cellpb.Notice{
		Id: n.Lifetime.ID, Born: n.Lifetime.StartedMs, Leaving: n.Leaving, PauseUs: n.Pause.Microseconds(),
	}}}
}

// ObserveLimit applies what an upstream said of its limit in an answer to this entry, and tells the leader if that is
// new.
func (l *Link) ObserveLimit(s pace.Statement[hosts.Lifetime]) (changed bool) {
	changed = l.opts.Limits.Observe(s)
	if changed {
		l.sendToLeader(limitsMessage([]pace.Statement[hosts.Lifetime]{s}, l.opts.Now()))
	}
	return changed
}

// Permit asks the leader for permission to send one request to an upstream that named a limit. It returns the time until
// the upstream accepts one, 0 if the request may be sent. A leader that doesn't answer counts as a refusal.
func (l *Link) Permit(ctx context.Context, to hosts.Lifetime) (wait time.Duration) {
	if !l.opts.Limits.IsLimited(to) {
		return 0
	}
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
	if current == nil {
		return l.opts.Limits.Take(to)
	}
	return current.permit(ctx, to)
}

func limitsMessage(statements []pace.Statement[hosts.Lifetime], now time.Time) *cellpb.ToLead {
	return &cellpb.ToLead{Body: &cellpb.ToLead_Limits{Limits: cellpb.LimitsOf(statements, now)}}
}

// sendToLeader sends a message to the leader, if that is another entry.
func (l *Link) sendToLeader(m *cellpb.ToLead) {
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
	if current != nil {
		current.post(m)
	}
}

// Leads reports whether this entry makes its decisions itself.
func (l *Link) Leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current == nil
}

// Leader returns the member that this entry follows. A process that has just started follows nobody but does not lead
// others either: until it has looked for a leader, follows is true and the member is empty.
func (l *Link) Leader() (m registry.Member, follows bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return registry.Member{}, l.opts.Now().Before(l.mayLeadAt)
	}
	return l.current.member, true
}

// Close closes the connections to leaders, which then drop the orders of this entry.
func (l *Link) Close() {
	l.mu.Lock()
	open := l.replaced
	if l.current != nil {
		open = append(open, l.current)
	}
	l.mu.Unlock()
	for _, s := range open {
		s.close()
	}
}

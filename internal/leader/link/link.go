package link

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

const (
	pingEvery    = 250 * time.Millisecond
	silentAfter  = 800 * time.Millisecond // without a pong, the leader counts as gone
	suspectFor   = 3 * time.Second        // a member whose connection broke is not asked again for this long
	silentFor    = 1 * time.Second        // nor one that was silent, which may only have been busy; doubles up to
	longestFor   = 8 * time.Second        // this, unless it was followed for
	soundAfter   = 10 * time.Second       // so long in between
	leavingFor   = 10 * time.Second       // nor one that is shutting down
	followsFor   = 2 * time.Second        // nor one that follows another
	followsLimit = 2                      // pongs that say so, until a leader that follows another one is left
	maxPatience  = 6                      // questions to a member that follows one that is gone, one in each pingEvery
	settleTime   = 750 * time.Millisecond // for a process that has started, to find the leader: the members, and one question
	quickSettle  = 250 * time.Millisecond // instead, after the members were read; others that have just started appear meanwhile
	largeFleet   = 128                    // members, from which on they do not all read the same from the store at once
	knowTime     = 150 * time.Millisecond // for a process that has started, to read who the members are
	tellTime     = 1 * time.Second        // for a process that has started, to hear from its leader what that has read
	adviceFor    = 2 * time.Second        // whom another entry follows counts this long
	askEvery     = 80 * time.Millisecond  // while a process that has started asks one that has started, too
	lookEvery    = 25 * time.Millisecond  // until a process that has started knows whom to ask
	dialTimeout  = 600 * time.Millisecond
	startTimeout = 200 * time.Millisecond // instead, while this process starts, as others may not have started yet
	startSuspect = 300 * time.Millisecond // and instead of suspectFor
	askTimeout   = 400 * time.Millisecond // for the first pong of a member that is asked to lead
	replacedFor  = 8 * time.Second        // a leader that was replaced may still decide on what it has
	outboxSize   = 512                    // messages to the leader
)

// Options are the dependencies of a Link.
type Options struct {
	Self        string // host name of this entry
	Local       lead.Decider
	Members     func() []registry.Member
	MemberCount func() int                  // number of all members
	MembersRead func() bool                 // the members were read, so that one that leads already is among them
	SetBlocked  func(fingerprints []uint64) // takes over what the leader found of requests that break down upstreams
	// Confirm takes over what the leader has read from the store.
	Confirm        func(rules watch.Sighting, table *hosts.Table)
	ConfirmMembers func(registry.View) // takes over what the leader has read of the entries
	// Adopt takes over the leader's configuration, as the operator wrote it.
	AdoptRules   func(version int64, rules []byte)
	RulesVersion func() int64 // of the configuration in force here
	// Lacks says whether a configuration that the leader has can't be had from the store.
	LacksRules func(rules watch.Sighting) bool
	// Notices lists what upstreams have said to this entry and still holds.
	Notices func() []notices.Notice
	Leaving func() bool // this entry is shutting down and must not lead others
	Now     func() time.Time
	Log     *zap.Logger
}

// pending is a request that has not ended.
type pending struct {
	order   lead.Order
	reply   func(lead.Decision)
	session *session // nil when the local desk has it

	waits    bool             // for a leader to be found
	progress []sched.Progress // as the desk told it last
	told     time.Time
}

// resume makes the order go on at another desk from where the one before has told it was.
func (p *pending) resume(now time.Time) {
	p.order.Job.Progress = sched.WithAge(p.progress, now.Sub(p.told))
	p.progress = nil
}

// Link is a Dispatcher that passes orders to the leader, or to the local desk while this entry leads.
type Link struct {
	o        Options
	mu       sync.Mutex
	current  *session   // nil while this entry leads
	replaced []*session // leaders that were replaced and may still decide on what they have
	requests map[string]*pending
	begun    time.Time

	first     bool      // this entry comes first among the members that were read
	leadsFrom time.Time // this entry leads no others before
	settled   bool      // this entry has found a leader, or leads itself; orders wait until then

	// What follows belongs to Run.
	suspects  map[string]suspect       // by host
	silences  map[string]time.Duration // how long members were left out for their last silence, by host
	looked    time.Time                // at the leader
	advised   registry.Member          // whom another entry follows
	advisedAt time.Time
	patience  int  // questions that are left to a member that follows one that is gone
	asking    bool // a member is asked to lead
	hasAsked  bool // one was asked since the start
	knows     bool // the members were read
	asked     chan answer
}

// suspect is a lifetime of a member that is not asked to lead until a time.
type suspect struct {
	born    int64
	until   time.Time
	follows bool // it followed another
}

var _ lead.Dispatcher = (*Link)(nil)

// New returns a link; orders wait until Run has found a leader, or for settleTime.
func New(o Options) *Link {
	return &Link{
		o: o, begun: o.Now(), requests: map[string]*pending{}, suspects: map[string]suspect{}, silences: map[string]time.Duration{}, patience: maxPatience, asked: make(chan answer, 1),
	}
}

// Run keeps a connection to the leader until ctx ends.
func (l *Link) Run(ctx context.Context) {
	l.mu.Lock()
	l.leadsFrom = l.o.Now().Add(settleTime)
	l.mu.Unlock()
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.look(ctx)
		switch {
		case l.isSettled():
			ticker.Reset(pingEvery)
		case l.hasAsked:
			ticker.Reset(askEvery)
		}
		l.await(ctx, ticker.C)
	}
}

// await waits until it is time to look again.
func (l *Link) await(ctx context.Context, tick <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick:
			return
		case a := <-l.asked:
			l.asking = false
			if l.take(a) {
				return
			}
		}
	}
}

// look checks the leader, and asks another member to lead if it is gone or that one comes first.
func (l *Link) look(ctx context.Context) {
	now := l.o.Now()
	l.settleSooner(now)
	l.lookAfterReplaced(now)
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
	sound := current != nil && l.lookAfterCurrent(current, now)
	wanted := l.wanted(now)
	l.noteFirst(l.knows && wanted.Host == l.o.Self)
	switch {
	case sound && wanted.Same(current.member):
	case wanted.Host == l.o.Self:
		if current != nil {
			l.change(wanted, nil)
		}
		if !now.Before(l.leadsFrom) {
			l.settle()
		}
	case !l.asking:
		// Connecting may take longer than the leader may be silent, so it must not keep pings from being sent.
		l.asking, l.hasAsked = true, true
		limit := dialTimeout
		if !l.isSettled() {
			limit = startTimeout
		}
		go func() { l.asked <- ask(ctx, wanted, l.o, limit, l.decided) }()
	}
}

func (l *Link) noteFirst(first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = first
}

// DefersReads reports whether this process, which has just started, should take the configuration and the lists from the
// leader and not read them from the store. In a small fleet each entry reads for itself, which is faster.
func (l *Link) DefersReads() bool {
	now := l.o.Now()
	if !l.o.MembersRead() {
		return now.Sub(l.begun) < knowTime
	}
	if l.o.MemberCount() < largeFleet || now.Sub(l.begun) > tellTime {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.first && (!l.settled || l.current != nil)
}

// settleSooner lets a process that knows the members lead soon after.
func (l *Link) settleSooner(now time.Time) {
	if l.knows || !l.o.MembersRead() {
		return
	}
	l.knows = true
	l.mu.Lock()
	defer l.mu.Unlock()
	if from := now.Add(quickSettle); from.Before(l.leadsFrom) {
		l.leadsFrom = from
	}
}

// lookAfterCurrent pings the leader and says whether it answers.
func (l *Link) lookAfterCurrent(current *session, now time.Time) bool {
	// What a process does not hear while it does not run itself is no silence of the leader.
	if now.Sub(l.looked) > 2*pingEvery {
		current.excuse(now)
	}
	l.looked = now
	if reason := current.gone(now); reason != "" {
		if !current.lost {
			current.lost = true
			l.o.Log.Info("leader lost", zap.String("member", current.member.Host), zap.String("reason", reason),
				zap.Duration("silent", now.Sub(current.heard())))
		}
		if reason == goneSilent {
			l.leaveOutSilent(current.member)
		} else {
			l.leaveOut(current.member, suspectFor)
		}
		return false
	}
	if now.Sub(current.begun) > soundAfter {
		delete(l.silences, current.member.Host)
	}
	current.ping()
	if current.leaving.Load() {
		l.leaveOut(current.member, leavingFor)
	}
	if current.follows.Load() >= followsLimit {
		l.leaveOutFollower(current.member)
		l.advise(current.itsLeader.Load())
	}
	return true
}

// take makes a member that was asked the leader, unless it can't be; again says whether to ask another one at once.
func (l *Link) take(a answer) (again bool) {
	if a.refusal == "" {
		if l.isSettled() && l.Leads() {
			l.o.Log.Info("leaders met, this one follows the other", zap.String("member", a.member.Host))
		}
		l.change(a.member, a.session)
		return true
	}
	l.o.Log.Info("member does not lead", zap.String("member", a.member.Host), zap.String("reason", string(a.refusal)), zap.Error(a.err))
	switch a.refusal {
	case refusedLeaving:
		l.leaveOut(a.member, leavingFor)
	case refusedFollows:
		if l.patience > 0 && l.isOutdated(a.leader) {
			if a.leader != nil || l.isSettled() {
				l.patience--
			}
			return false
		}
		l.leaveOutFollower(a.member)
		l.advise(a.leader)
	case refusedSilent:
		l.leaveOutSilent(a.member)
	default:
		l.leaveOut(a.member, l.suspectTime())
	}
	return true
}

// suspectTime is how long a member that can't be reached is left out. While this process starts, others may start too.
func (l *Link) suspectTime() time.Duration {
	if !l.isSettled() {
		return startSuspect
	}
	return suspectFor
}

// isOutdated says whether a member that follows another may only not have noticed yet that this one is gone or going. A
// member that has just started names no leader.
func (l *Link) isOutdated(leader *registry.Member) bool {
	if leader == nil || leader.Host == l.o.Self {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil && leader.Same(l.current.member)
}

// leaveOut keeps a lifetime of a member from being asked for a while.
func (l *Link) leaveOut(m registry.Member, d time.Duration) {
	l.suspects[m.Host] = suspect{born: m.Born, until: l.o.Now().Add(d)}
}

// leaveOutSilent keeps a member that did not answer in time from being asked, each time for longer.
func (l *Link) leaveOutSilent(m registry.Member) {
	d := min(longestFor, max(silentFor, 2*l.silences[m.Host]))
	l.silences[m.Host] = d
	l.leaveOut(m, d)
}

// leaveOutFollower keeps a member that follows another from being asked, until somebody follows it.
func (l *Link) leaveOutFollower(m registry.Member) {
	l.suspects[m.Host] = suspect{born: m.Born, until: l.o.Now().Add(followsFor), follows: true}
}

// advise remembers whom another entry follows; it may know better.
func (l *Link) advise(m *registry.Member) {
	if m == nil {
		return
	}
	if s := l.suspects[m.Host]; s.born == m.Born && s.follows {
		delete(l.suspects, m.Host) // it has begun to lead
	}
	l.advised, l.advisedAt = *m, l.o.Now()
}

// wanted is whom this entry should follow: the one that another entry follows, or the first member that is not suspect.
func (l *Link) wanted(now time.Time) registry.Member {
	if now.Sub(l.advisedAt) < adviceFor && l.eligible(l.advised, now) {
		return l.advised
	}
	for _, m := range l.o.Members() {
		if l.eligible(m, now) {
			return m
		}
	}
	return registry.Member{Host: l.o.Self}
}

func (l *Link) eligible(m registry.Member, now time.Time) bool {
	if m.Host == l.o.Self {
		return !l.o.Leaving()
	}
	s, known := l.suspects[m.Host]
	return !known || s.born != m.Born || !now.Before(s.until)
}

// change makes a member the leader, or this entry if the session is nil.
func (l *Link) change(m registry.Member, next *session) {
	now := l.o.Now()
	l.mu.Lock()
	before := l.current
	l.current = next
	alive := before != nil && before.gone(now) == ""
	if alive {
		before.replacedAt = now
		before.replaced.Store(true)
		l.replaced = append(l.replaced, before)
	}
	l.mu.Unlock()
	if next != nil {
		for _, n := range l.o.Notices() {
			next.post(noticeMessage(n))
		}
	}
	l.patience = maxPatience
	l.o.Log.Info("leader", zap.String("member", m.Host), zap.Bool("before", alive))
	if before != nil && !alive {
		l.drop(before)
		return
	}
	l.recall(before)
	l.settle()
}

// settle submits the orders that have waited for a leader to be found.
func (l *Link) settle() {
	l.mu.Lock()
	var waiting []*pending
	if !l.settled {
		for _, p := range l.requests {
			if p.waits {
				p.waits, p.session = false, l.current
				waiting = append(waiting, p)
			}
		}
	}
	l.settled = true
	l.mu.Unlock()
	if len(waiting) > 0 {
		l.o.Log.Info("orders waited for a leader", zap.Int("orders", len(waiting)))
	}
	for _, p := range waiting {
		l.submit(p)
	}
}

func (l *Link) isSettled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.settled
}

// recall asks a leader that was replaced, nil for this entry, for the orders that it has not decided on.
func (l *Link) recall(before *session) {
	for _, id := range l.undecided(before) {
		if before == nil {
			l.o.Local.Recall(id)
			continue
		}
		before.recall(id)
	}
}

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

// lookAfterReplaced drops the replaced leaders that are gone or have had enough time.
func (l *Link) lookAfterReplaced(now time.Time) {
	l.mu.Lock()
	replaced := l.replaced
	l.replaced = nil
	l.mu.Unlock()
	for _, s := range replaced {
		if s.gone(now) != "" || now.Sub(s.replacedAt) > replacedFor {
			l.drop(s)
			continue
		}
		s.ping()
		l.mu.Lock()
		l.replaced = append(l.replaced, s)
		l.mu.Unlock()
	}
}

// drop closes the connection to a leader and hands the orders that it has not decided on to the present one.
func (l *Link) drop(s *session) {
	s.close()
	l.mu.Lock()
	now, resumed := l.o.Now(), 0
	var moved []*pending
	for _, p := range l.requests {
		if p.session == s && p.reply != nil {
			p.session = l.current
			p.resume(now)
			if len(p.order.Job.Progress) > 0 {
				resumed++
			}
			moved = append(moved, p)
		}
	}
	l.mu.Unlock()
	if len(moved) > 0 {
		l.o.Log.Info("orders moved to the present leader", zap.String("from", s.member.Host), zap.Int("orders", len(moved)),
			zap.Int("resumed", resumed))
	}
	for _, p := range moved {
		l.submit(p)
	}
}

// Submit asks the leader for a decision.
func (l *Link) Submit(o lead.Order, reply func(lead.Decision)) {
	l.mu.Lock()
	waits := !l.settled
	p := &pending{order: o, reply: reply, session: l.current, waits: waits}
	l.requests[o.Job.ID] = p
	l.mu.Unlock()
	if !waits {
		l.submit(p)
	}
}

func (l *Link) submit(p *pending) {
	id := p.order.Job.ID
	if p.session == nil {
		l.o.Local.Submit(p.order, func(d lead.Decision) { l.decided(id, d) })
		return
	}
	p.session.submit(p.order)
}

// decided passes a decision to the request that waits for it.
func (l *Link) decided(id string, d lead.Decision) {
	l.mu.Lock()
	p := l.requests[id]
	var reply func(lead.Decision)
	if p != nil && d.Pending {
		p.progress, p.told = d.Progress, l.o.Now()
		l.mu.Unlock()
		return
	}
	if p != nil && d.Moved {
		p.order.Job.Progress, p.progress = d.Progress, nil
		p.session = l.current
		l.mu.Unlock()
		l.submit(p)
		return
	}
	if p != nil {
		reply, p.reply = p.reply, nil
	}
	l.mu.Unlock()
	if reply != nil {
		reply(d)
	}
}

// Again asks for another decision, at the present leader if the one before is gone.
func (l *Link) Retry(id, engine string, why lead.Problem, reply func(lead.Decision)) {
	l.mu.Lock()
	p := l.requests[id]
	if p == nil {
		l.mu.Unlock()
		reply(lead.Decision{Refused: sched.Failing, RetryAfter: time.Second})
		return
	}
	p.reply = reply
	p.order.Engine.Exclude = append(p.order.Engine.Exclude, engine)
	moved := p.session != nil && p.session.gone(l.o.Now()) != ""
	if moved {
		p.session, p.order.Job.Progress = l.current, nil
		if p.session != nil && p.session.gone(l.o.Now()) != "" {
			p.session = nil
		}
	}
	ses := p.session
	l.mu.Unlock()
	switch {
	case moved:
		l.submit(p)
	case ses == nil:
		l.o.Local.Retry(id, engine, why, func(d lead.Decision) { l.decided(id, d) })
	default:
		ses.again(id, engine, why)
	}
}

// FirstByte tells the leader that decided that the answer has begun.
func (l *Link) FirstByte(id string, keep bool) {
	p, ok := l.request(id)
	switch {
	case !ok:
	case p == nil:
		l.o.Local.FirstByte(id, keep)
	default:
		p.firstByte(id, keep)
	}
}

// Ended tells the leader that decided that the request is over.
func (l *Link) Ended(id, engine string, failed bool) {
	p, ok := l.request(id)
	l.mu.Lock()
	delete(l.requests, id)
	l.mu.Unlock()
	switch {
	case !ok:
	case p == nil:
		l.o.Local.Ended(id, engine, failed)
	default:
		p.ended(id, engine, failed)
	}
}

// Crashed tells the leader of a breakdown, so that it counts those that all entries see.
func (l *Link) Crashed(fingerprint uint64, lifetime string, sent time.Time) {
	l.o.Local.Crashed(fingerprint, lifetime, sent)
	l.tell(&cellpb.ToLead{Body: &cellpb.ToLead_Crashed{Crashed: &cellpb.Crashed{
		Fingerprint: fingerprint, Lifetime: lifetime, AgeUs: l.o.Now().Sub(sent).Microseconds(),
	}}})
}

// Served tells the leader that a request was answered under which an upstream broke down before.
func (l *Link) Served(fingerprint uint64) {
	l.o.Local.Served(fingerprint)
	l.tell(&cellpb.ToLead{Body: &cellpb.ToLead_Served{Served: &cellpb.Served{Fingerprint: fingerprint}}})
}

// UpstreamNotice tells the leader what an upstream told this entry.
func (l *Link) UpstreamNotice(entry string, n notices.Notice) {
	l.o.Local.UpstreamNotice(entry, n)
	l.tell(noticeMessage(n))
}

func noticeMessage(n notices.Notice) *cellpb.ToLead {
	return &cellpb.ToLead{Body: &cellpb.ToLead_Notice{Notice: &cellpb.Notice{
		Id: n.Of.ID, Born: n.Of.Born, Leaving: n.Leaving, PauseUs: n.Pause.Microseconds(),
	}}}
}

// tell sends a message to the leader, if that is another entry.
func (l *Link) tell(m *cellpb.ToLead) {
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
	if current != nil {
		current.post(m)
	}
}

// Leads says whether this entry decides for itself.
func (l *Link) Leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current == nil
}

// Leader is whom this entry follows, if it does not lead; a process that has just started does not lead others before it
// has looked for a leader.
func (l *Link) Leader() (m registry.Member, follows bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return registry.Member{}, l.o.Now().Before(l.leadsFrom)
	}
	return l.current.member, true
}

// request returns the session that has a request; nil for the local desk.
func (l *Link) request(id string) (*session, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.requests[id]
	if p == nil {
		return nil, false
	}
	return p.session, true
}

// Close ends the connections to leaders, which then drop the orders of this entry.
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

package link

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/cell/board"
	"github.com/ragworthatch/ragworthatch/internal/cell/crew"
	"github.com/ragworthatch/ragworthatch/internal/cell/lead"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
)

const (
	pingEvery    = 250 * time.Millisecond
	silentAfter  = 800 * time.Millisecond // without a pong, the leader counts as gone
	suspectFor   = 3 * time.Second        // a member that was gone is not asked again for this long
	leavingFor   = 10 * time.Second       // nor one that is shutting down for this long
	followsLimit = 3                      // pongs that say so, until a leader that follows another one is left
	dialTimeout  = 600 * time.Millisecond
	replacedFor  = 8 * time.Second // a leader that was replaced may still decide on what it has
	outboxSize   = 512             // messages to the leader
)

// Options are the dependencies of a Link.
type Options struct {
	Self    string // host name of this entry
	Local   lead.Desk
	Members func() []crew.Member
	Blocked func(fingerprints []uint64) // takes over what the leader found of requests that break down upstreams
	// Confirm takes over what the leader has read from the store.
	Confirm func(rulesVersion int64, rulesRead time.Time, table *hosts.Table)
	// Adopt takes over the leader's configuration, as the operator wrote it.
	Adopt   func(rules []byte)
	Leaving func() bool // this entry is shutting down and must not lead others
	Now     func() time.Time
	Log     *zap.Logger
}

// pending is a request that has not ended.
type pending struct {
	order   lead.Order
	reply   func(lead.Decision)
	session *session // nil when the local desk has it
}

// Link is a Desk that passes orders to the leader, or to the local desk while this entry leads.
type Link struct {
	o        Options
	mu       sync.Mutex
	current  *session   // nil while this entry leads
	replaced []*session // leaders that were replaced and may still decide on what they have
	requests map[string]*pending
	suspect  map[string]time.Time
}

var _ lead.Desk = (*Link)(nil)

// New returns a link that uses the local desk until Run finds a leader.
func New(o Options) *Link {
	return &Link{o: o, requests: map[string]*pending{}, suspect: map[string]time.Time{}}
}

// Run keeps a connection to the leader until ctx ends.
func (l *Link) Run(ctx context.Context) {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	for {
		l.look(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// look checks the leader and changes it if it is gone or another one comes first.
func (l *Link) look(ctx context.Context) {
	now := l.o.Now()
	l.lookAfterReplaced(now)
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
	if current != nil {
		if reason := current.gone(now); reason != "" {
			l.leaveOut(current.member, suspectFor)
			l.o.Log.Info("leader lost", zap.String("member", current.member.Host), zap.String("reason", reason),
				zap.Duration("silent", now.Sub(current.heard())))
		} else {
			current.ping()
		}
		if current.leaving.Load() || current.follows.Load() >= followsLimit {
			l.leaveOut(current.member, leavingFor)
		}
	}
	wanted := l.wanted(now)
	if current != nil && wanted.Host == current.member.Host && wanted.Born == current.member.Born && current.gone(now) == "" {
		return
	}
	if current == nil && wanted.Host == l.o.Self {
		return
	}
	l.change(ctx, wanted)
}

// leaveOut keeps a member from being asked for a while.
func (l *Link) leaveOut(m crew.Member, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspect[m.Host] = l.o.Now().Add(d)
}

// wanted is the first member that is not suspect.
func (l *Link) wanted(now time.Time) crew.Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.o.Members() {
		if m.Host == l.o.Self && l.o.Leaving() {
			continue
		}
		if m.Host == l.o.Self || !now.Before(l.suspect[m.Host]) {
			return m
		}
	}
	return crew.Member{Host: l.o.Self}
}

// change makes a member the leader and hands over the orders that the one before has not decided on.
func (l *Link) change(ctx context.Context, m crew.Member) {
	var next *session
	if m.Host != l.o.Self {
		var err error
		next, err = dial(ctx, m, l.o, l.decided)
		if err != nil {
			l.o.Log.Info("member can't be reached", zap.String("member", m.Host), zap.Error(err))
			l.leaveOut(m, suspectFor)
			if l.currentAlive() {
				return
			}
			m, next = crew.Member{Host: l.o.Self}, nil
		}
	}
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
	l.o.Log.Info("leader", zap.String("member", m.Host), zap.Bool("before", alive))
	if before != nil && !alive {
		l.drop(before)
	}
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
	var moved []*pending
	for _, p := range l.requests {
		if p.session == s && p.reply != nil {
			p.session = l.current
			moved = append(moved, p)
		}
	}
	l.mu.Unlock()
	if len(moved) > 0 {
		l.o.Log.Info("orders moved to the present leader", zap.String("from", s.member.Host), zap.Int("orders", len(moved)))
	}
	for _, p := range moved {
		l.submit(p)
	}
}

func (l *Link) currentAlive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current != nil && l.current.gone(l.o.Now()) == ""
}

// Submit asks the leader for a decision.
func (l *Link) Submit(o lead.Order, reply func(lead.Decision)) {
	l.mu.Lock()
	p := &pending{order: o, reply: reply, session: l.current}
	l.requests[o.Job.ID] = p
	l.mu.Unlock()
	l.submit(p)
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
	if p != nil {
		reply, p.reply = p.reply, nil
	}
	l.mu.Unlock()
	if reply != nil {
		reply(d)
	}
}

// Again asks for another decision, at the present leader if the one before is gone.
func (l *Link) Again(id, engine string, why lead.Problem, reply func(lead.Decision)) {
	l.mu.Lock()
	p := l.requests[id]
	if p == nil {
		l.mu.Unlock()
		reply(lead.Decision{Refused: board.Failing, RetryAfter: time.Second})
		return
	}
	p.reply = reply
	p.order.Engine.Exclude = append(p.order.Engine.Exclude, engine)
	moved := p.session != nil && p.session.gone(l.o.Now()) != ""
	if moved {
		p.session = l.current
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
		l.o.Local.Again(id, engine, why, func(d lead.Decision) { l.decided(id, d) })
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
func (l *Link) Crashed(fingerprint uint64) {
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
	l.o.Local.Crashed(fingerprint)
	if current != nil {
		current.post(&cellpb.ToLead{Body: &cellpb.ToLead_Crashed{Crashed: &cellpb.Crashed{Fingerprint: fingerprint}}})
	}
}

// Leads says whether this entry decides for itself.
func (l *Link) Leads() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current == nil
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

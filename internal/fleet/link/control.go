package link

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

func (p *Pool) handle(now time.Time, e event) {
	if e.kind == refused {
		p.table = p.table.WithLeaving(now, e.name, e.incarnation)
		p.dirty = true
		return
	}
	peer, ok := p.peers[e.name]
	if !ok {
		return
	}
	if peer.parted {
		return
	}
	switch e.kind {
	case statusHeard:
		p.heard(now, peer, e)
	case watchEnded:
		p.ended(now, peer, e.conn)
	case suspected:
		p.replace(now, peer, "a call went silent")
		p.pingOthers(now, peer)
	case unanswered:
		if peer.current != nil && peer.current.id == e.conn {
			p.replace(now, peer, "a ping went unanswered")
		}
	}
}

func (p *Pool) heard(now time.Time, peer *peer, e event) {
	w := peer.owns(e.conn)
	if w == nil {
		return
	}
	w.heardAt = now
	p.table = p.table.WithStatus(now, e.name, e.status)
	p.dirty = p.dirty || w == peer.probe || differs(p.View(), e.name, e.status)
	p.o.OnStatus(e.name, e.status)
	if w != peer.probe {
		return
	}
	replaced := peer.current != nil || len(peer.retired) > 0
	peer.promote()
	p.publishClients()
	p.o.Log.Info("connection up", zap.String("upstream", e.name), zap.String("address", w.address),
		zap.Bool("replaced", replaced), zap.String("incarnation", e.status.GetIncarnation()))
}

// differs says whether a status tells more than a new load.
func differs(v member.View, name string, st *sidepb.Status) bool {
	u, ok := v.Upstream(name)
	leaving := st.GetState() == string(member.Leaving)
	return !ok || u.Incarnation != st.GetIncarnation() || leaving != (u.State == member.Leaving) ||
		!slices.Equal(u.Models, st.GetModels()) || st.GetUpstreamHealthy() != (u.State == member.Live)
}

// ended handles a watch that broke: the current connection is replaced at once, a failed probe blames the upstream.
func (p *Pool) ended(now time.Time, peer *peer, id uint64) {
	switch w := peer.owns(id); {
	case w == nil:
	case w == peer.probe:
		p.probeFailed(now, peer, "probe broke")
	default:
		peer.retire(now)
		p.publishClients()
		peer.putOff(now, now.Sub(w.openAt) >= steadyAfter)
		p.check(now, peer)
	}
}

func (p *Pool) probeFailed(now time.Time, peer *peer, cause string) {
	peer.dropProbe()
	peer.putOff(now, false)
	peer.retire(now)
	p.table = p.table.WithConnection(now, peer.name, false)
	p.dirty = true
	p.publishClients()
	p.o.Log.Warn("upstream does not answer on a new connection", zap.String("upstream", peer.name),
		zap.String("cause", cause), zap.Duration("retryIn", peer.backoff))
}

// replace probes a silent upstream on a new connection; meanwhile the old one gets no new work.
func (p *Pool) replace(now time.Time, peer *peer, cause string) {
	if peer.current == nil || peer.probe != nil || now.Sub(peer.replacedAt) < replaceInterval {
		return
	}
	peer.replacedAt = now
	peer.putOff(now, now.Sub(peer.current.openAt) >= steadyAfter)
	p.o.Log.Info("replacing a silent connection", zap.String("upstream", peer.name), zap.String("cause", cause))
	peer.retire(now)
	p.publishClients()
	p.open(now, peer)
}

// pingOthers looks at the connections to all other upstreams, as what made one of them silent may have lost them too.
func (p *Pool) pingOthers(now time.Time, silent *peer) {
	if now.Sub(p.pingedAt) < replaceInterval {
		return
	}
	p.pingedAt = now
	for _, peer := range p.peers {
		if w := peer.current; w != nil && peer != silent {
			go p.ping(peer.name, w.id, w.conn)
		}
	}
}

func (p *Pool) open(now time.Time, peer *peer) {
	dialed, err := p.o.Dial(peer.address)
	if err != nil {
		p.probeFailed(now, peer, err.Error())
		return
	}
	conn := &counted{Conn: dialed}
	ctx, cancel := context.WithCancel(p.ctx)
	p.nextID++
	peer.probe = &watched{id: p.nextID, conn: conn, address: peer.address, cancel: cancel, openAt: now}
	go p.watch(ctx, peer.name, p.nextID, conn)
}

func (p *Pool) tick(now time.Time) {
	p.table = p.table.Tick(now)
	for _, peer := range p.peers {
		p.check(now, peer)
	}
}

// check runs the timers of one upstream.
func (p *Pool) check(now time.Time, peer *peer) {
	peer.reap(now)
	switch {
	case peer.parted:
	case peer.probe != nil && now.Sub(peer.probe.openAt) >= probeTimeout:
		p.probeFailed(now, peer, "no status on the probe")
	case peer.probe == nil && peer.current == nil && !now.Before(peer.retryAt):
		p.open(now, peer)
	case peer.current != nil && now.Sub(peer.current.heardAt) >= quietAfter:
		p.replace(now, peer, "no heartbeat")
	}
}

// follow makes the connections match the subset. A suspect or leaving upstream stays watched until it is live again or
// gone: unwatched it would pass for live.
func (p *Pool) follow(now time.Time, v member.View) {
	wanted := map[string]bool{}
	for _, name := range p.o.Subset(v) {
		wanted[name] = true
	}
	for name, peer := range p.peers {
		u, known := v.Upstream(name)
		doubtful := u.State == member.Leaving || u.State == member.Suspect
		keep := known && (wanted[name] || doubtful && !peer.parted)
		switch {
		case keep && u.Address != peer.address:
			p.part(now, peer)
			peer.address = u.Address
		case !keep:
			p.part(now, peer)
		}
		if !keep && len(peer.retired) == 0 {
			delete(p.peers, name)
		}
	}
	for name := range wanted {
		if u, known := v.Upstream(name); known && u.State != member.Gone {
			p.want(now, name, u.Address)
		}
	}
}

// part ends the use of an upstream's connections; calls in flight go on.
func (p *Pool) part(now time.Time, peer *peer) {
	if peer.parted {
		return
	}
	peer.parted = true
	peer.dropProbe()
	peer.retire(now)
	p.table = p.table.WithoutConnection(peer.name)
	p.dirty = true
}

// want starts the use of an upstream.
func (p *Pool) want(now time.Time, name, address string) {
	known, ok := p.peers[name]
	if ok && !known.parted {
		return
	}
	if !ok {
		known = &peer{name: name}
		p.peers[name] = known
	}
	known.address = address
	known.parted = false
	p.open(now, known)
}

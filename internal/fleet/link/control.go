package link

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// handleEvent processes one event of the watches or of the traffic.
func (p *Pool) handleEvent(now time.Time, e event) {
	if e.kind == callRefused {
		p.table = p.table.WithLeaving(now, e.name, e.incarnation)
		p.viewStale = true
		return
	}
	peer, ok := p.peers[e.name]
	if !ok {
		return
	}
	if peer.disconnected {
		return
	}
	switch e.kind {
	case statusReceived:
		p.handleStatus(now, peer, e)
	case watchEnded:
		p.handleWatchEnd(now, peer, e.conn)
	case callSilent:
		p.replaceConn(now, peer, "a call went silent")
		p.pingOthers(now, peer)
	case pingFailed:
		if peer.current != nil && peer.current.id == e.conn {
			p.replaceConn(now, peer, "a ping went unanswered")
		}
	}
}

// handleStatus records a status; the first one on a probe makes that the current connection.
func (p *Pool) handleStatus(now time.Time, peer *peer, e event) {
	c := peer.connByID(e.conn)
	if c == nil {
		return
	}
	c.lastStatusAt = now
	p.table = p.table.WithStatus(now, e.name, e.status)
	p.viewStale = p.viewStale || c == peer.probe || changesView(p.View(), e.name, e.status)
	p.o.OnStatus(e.name, e.status)
	if c != peer.probe {
		return
	}
	replaced := peer.current != nil || len(peer.retired) > 0
	peer.promoteProbe()
	p.publishClients()
	p.o.Log.Info("connection up", zap.String("upstream", e.name), zap.String("address", c.address),
		zap.Bool("replaced", replaced), zap.String("incarnation", e.status.GetIncarnation()))
}

// changesView reports whether a status changes more than the load.
func changesView(v member.View, name string, st *sidepb.Status) bool {
	u, ok := v.Upstream(name)
	leaving := st.GetState() == string(member.Leaving)
	return !ok || u.Incarnation != st.GetIncarnation() || leaving != (u.State == member.Leaving) ||
		!slices.Equal(u.Models, st.GetModels()) || st.GetUpstreamHealthy() != (u.State == member.Live)
}

// handleWatchEnd handles a watch that broke: the current connection is replaced, at once if it was stable, and a failed
// probe makes the upstream suspect.
func (p *Pool) handleWatchEnd(now time.Time, peer *peer, id uint64) {
	switch c := peer.connByID(id); {
	case c == nil:
	case c == peer.probe:
		p.probeFailed(now, peer, "probe broke")
	default:
		peer.retire(now)
		p.publishClients()
		peer.scheduleRetry(now, now.Sub(c.openedAt) >= stableAfter)
		p.checkTimers(now, peer)
	}
}

// probeFailed makes an upstream suspect after a probe failed, and schedules the next one.
func (p *Pool) probeFailed(now time.Time, peer *peer, cause string) {
	peer.dropProbe()
	peer.scheduleRetry(now, false)
	peer.retire(now)
	p.table = p.table.WithConnection(now, peer.name, false)
	p.viewStale = true
	p.publishClients()
	p.o.Log.Warn("upstream does not answer on a new connection", zap.String("upstream", peer.name),
		zap.String("cause", cause), zap.Duration("retryIn", peer.backoff))
}

// replaceConn retires a silent connection and probes the upstream on a new one, unless a probe is open already or the
// last replacement was less than minReplaceInterval ago.
func (p *Pool) replaceConn(now time.Time, peer *peer, cause string) {
	if peer.current == nil || peer.probe != nil || now.Sub(peer.replacedAt) < minReplaceInterval {
		return
	}
	peer.replacedAt = now
	peer.scheduleRetry(now, now.Sub(peer.current.openedAt) >= stableAfter)
	p.o.Log.Info("replacing a silent connection", zap.String("upstream", peer.name), zap.String("cause", cause))
	peer.retire(now)
	p.publishClients()
	p.openProbe(now, peer)
}

// pingOthers pings all other upstreams, as the cause that made one connection silent may have broken others too.
func (p *Pool) pingOthers(now time.Time, silent *peer) {
	if now.Sub(p.pingedAt) < minReplaceInterval {
		return
	}
	p.pingedAt = now
	for _, peer := range p.peers {
		if c := peer.current; c != nil && peer != silent {
			go p.ping(peer.name, c.id, c.conn)
		}
	}
}

// openProbe opens a connection and starts its watch.
func (p *Pool) openProbe(now time.Time, peer *peer) {
	dialed, err := p.o.Dial(peer.address)
	if err != nil {
		p.probeFailed(now, peer, err.Error())
		return
	}
	conn := &countingConn{Conn: dialed}
	ctx, cancel := context.WithCancel(p.ctx)
	p.nextID++
	peer.probe = &connection{id: p.nextID, conn: conn, address: peer.address, cancel: cancel, openedAt: now}
	go p.watch(ctx, peer.name, p.nextID, conn)
}

// tick handles the timeouts of the table and of all upstreams.
func (p *Pool) tick(now time.Time) {
	p.table = p.table.Tick(now)
	for _, peer := range p.peers {
		p.checkTimers(now, peer)
	}
}

// checkTimers handles the timeouts of one upstream.
func (p *Pool) checkTimers(now time.Time, peer *peer) {
	peer.closeDrained(now)
	switch {
	case peer.disconnected:
	case peer.probe != nil && now.Sub(peer.probe.openedAt) >= probeTimeout:
		p.probeFailed(now, peer, "no status on the probe")
	case peer.probe == nil && peer.current == nil && !now.Before(peer.retryAt):
		p.openProbe(now, peer)
	case peer.current != nil && now.Sub(peer.current.lastStatusAt) >= maxWatchSilence:
		p.replaceConn(now, peer, "no heartbeat")
	}
}

// applySubset matches the connections to the subset. A suspect or leaving upstream stays connected until it is live
// again or gone, since it would count as live without a connection.
func (p *Pool) applySubset(now time.Time, v member.View) {
	wanted := map[string]bool{}
	for _, name := range p.o.Subset(v) {
		wanted[name] = true
	}
	for name, peer := range p.peers {
		u, known := v.Upstream(name)
		doubtful := u.State == member.Leaving || u.State == member.Suspect
		keep := known && (wanted[name] || doubtful && !peer.disconnected)
		switch {
		case keep && u.Address != peer.address:
			p.disconnect(now, peer)
			peer.address = u.Address
		case !keep:
			p.disconnect(now, peer)
		}
		if !keep && len(peer.retired) == 0 {
			delete(p.peers, name)
		}
	}
	for name := range wanted {
		if u, known := v.Upstream(name); known && u.State != member.Gone {
			p.connect(now, name, u.Address)
		}
	}
}

// disconnect retires an upstream's connections; calls in flight go on.
func (p *Pool) disconnect(now time.Time, peer *peer) {
	if peer.disconnected {
		return
	}
	peer.disconnected = true
	peer.dropProbe()
	peer.retire(now)
	p.table = p.table.WithoutConnection(peer.name)
	p.viewStale = true
}

// connect starts probing an upstream unless it is connected already.
func (p *Pool) connect(now time.Time, name, address string) {
	known, ok := p.peers[name]
	if ok && !known.disconnected {
		return
	}
	if !ok {
		known = &peer{name: name}
		p.peers[name] = known
	}
	known.address = address
	known.disconnected = false
	p.openProbe(now, known)
}

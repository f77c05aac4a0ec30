package link

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

const (
	// probeTimeout is how long a new connection may take to deliver a status.
	probeTimeout = 3 * time.Second
	// maxWatchSilence is the silence of a watch after which its connection is replaced.
	maxWatchSilence = timing.HeartbeatInterval + timing.HeartbeatInterval/2
	// minReplaceInterval is the shortest time between two replacements of a connection after reports from traffic.
	minReplaceInterval = 5 * time.Second
	// retireGrace is how long a client that was handed out before may still start a call on a retired connection.
	retireGrace = 5 * time.Second
	// maxRetireTime is how long calls in flight may keep a retired connection open.
	maxRetireTime = 10 * time.Minute
	// maxRetired limits the retired connections of one upstream.
	maxRetired = 8
	// minBackoff and maxBackoff bound the delay before the next probe.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
	// stableAfter is how long a connection must last for the next one to start without backoff.
	stableAfter = 10 * time.Second
)

// peer holds the connections to one upstream; only the control goroutine uses it.
type peer struct {
	name         string
	address      string
	current      *connection // carries traffic; nil until a probe succeeds
	probe        *connection // new connection that has not delivered a status yet
	retired      []*connection
	replacedAt   time.Time     // when a silent connection was last replaced
	disconnected bool          // no longer in the subset; kept for its calls in flight
	retryAt      time.Time     // when the next probe may be opened
	backoff      time.Duration // last delay before a probe
}

// connByID returns the current connection or the probe if it has the ID, otherwise nil.
func (p *peer) connByID(id uint64) *connection {
	for _, c := range []*connection{p.current, p.probe} {
		if c != nil && c.id == id {
			return c
		}
	}
	return nil
}

// retire takes the current connection out of use; its calls in flight go on.
func (p *peer) retire(now time.Time) {
	if p.current == nil {
		return
	}
	p.current.cancel()
	p.current.retiredAt = now
	p.retired = append(p.retired, p.current)
	p.current = nil
	for len(p.retired) > maxRetired {
		p.retired[0].close()
		p.retired = p.retired[1:]
	}
}

// closeDrained closes the retired connections that have drained.
func (p *peer) closeDrained(now time.Time) {
	p.retired = slices.DeleteFunc(p.retired, func(c *connection) bool {
		if !c.drained(now) {
			return false
		}
		c.close()
		return true
	})
}

// promoteProbe makes the probe the current connection.
func (p *peer) promoteProbe() {
	p.current = p.probe
	p.probe = nil
}

// scheduleRetry delays the next connection with exponential backoff, or not at all after a stable one.
func (p *peer) scheduleRetry(now time.Time, stable bool) {
	if stable {
		p.backoff = 0
		p.retryAt = now
		return
	}
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.retryAt = now.Add(p.backoff)
}

// dropProbe closes the probe, if any.
func (p *peer) dropProbe() {
	if p.probe != nil {
		p.probe.close()
		p.probe = nil
	}
}

// close closes all connections and so aborts their calls.
func (p *peer) close() {
	for _, c := range append(p.retired, p.current, p.probe) {
		if c != nil {
			c.close()
		}
	}
}

package link

import (
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

const (
	// probeTimeout is how long a new connection may take to show a status.
	probeTimeout = 3 * time.Second
	// quietAfter is the silence of a watch after which its connection is replaced.
	quietAfter = timing.HeartbeatInterval + timing.HeartbeatInterval/2
	// replaceInterval is how often at most a connection is replaced on a hint from traffic.
	replaceInterval = 5 * time.Second
	// retireGrace is how long a client handed out just before may still start a call on a retired connection.
	retireGrace = 5 * time.Second
	// retireAfter is how long calls in flight keep a retired connection at most.
	retireAfter = 10 * time.Minute
	// maxRetired bounds the retired connections of one upstream.
	maxRetired = 8
	minBackoff = 500 * time.Millisecond
	maxBackoff = 10 * time.Second
	// steadyAfter is how long a connection must last for the next one to start without backoff.
	steadyAfter = 10 * time.Second
)

// peer is one upstream of the subset; the control goroutine owns it.
type peer struct {
	name       string
	address    string
	current    *watched // carries traffic; nil while no connection has proved itself
	probe      *watched // a new connection that has shown nothing yet
	retired    []*watched
	replacedAt time.Time
	parted     bool // no longer in the subset; kept for its calls in flight
	retryAt    time.Time
	backoff    time.Duration
}

// owns returns the connection with the id, nil if it is neither current nor being probed.
func (p *peer) owns(id uint64) *watched {
	for _, w := range []*watched{p.current, p.probe} {
		if w != nil && w.id == id {
			return w
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

// reap closes the retired connections that carry no call any more.
func (p *peer) reap(now time.Time) {
	p.retired = slices.DeleteFunc(p.retired, func(w *watched) bool {
		if !w.done(now) {
			return false
		}
		w.close()
		return true
	})
}

// promote lets the probed connection carry the traffic.
func (p *peer) promote() {
	p.current = p.probe
	p.probe = nil
}

// putOff delays the next connection, longer each time unless the last one was steady.
func (p *peer) putOff(now time.Time, steady bool) {
	if steady {
		p.backoff = 0
		p.retryAt = now
		return
	}
	p.backoff = min(max(2*p.backoff, minBackoff), maxBackoff)
	p.retryAt = now.Add(p.backoff)
}

func (p *peer) dropProbe() {
	if p.probe != nil {
		p.probe.close()
		p.probe = nil
	}
}

func (p *peer) close() {
	for _, w := range append(p.retired, p.current, p.probe) {
		if w != nil {
			w.close()
		}
	}
}

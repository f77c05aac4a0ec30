package link

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/infra/hosts"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

const (
	tickInterval = 500 * time.Millisecond
	// publishInterval bounds how often the view is rebuilt, and how late a leaving upstream shows in it.
	publishInterval = 100 * time.Millisecond
	// refreshInterval is how often it is rebuilt when only loads and the time have changed.
	refreshInterval = time.Second
	// defaultSubset is how many upstreams of a pool are connected when no subset is given.
	defaultSubset = 12
)

// Subset chooses the names of the upstreams to be connected to.
type Subset func(v member.View) []string

// Options are what a pool is built from; Hosts, Dial and Log must be set.
type Options struct {
	Entry  string // name of this process
	Hosts  hosts.List
	Dial   Dialer
	Subset Subset       // nil connects the first few of each pool by name
	Offset func() int64 // newest configuration offset known; may be nil
	Member member.Options
	// OnView is called by the control goroutine with each new view; it must not wait.
	OnView func(v member.View)
	// OnStatus is called by the control goroutine with each status; it must not wait.
	OnStatus func(name string, st *sidepb.Status)
	Log      *zap.Logger
}

// Pool is the connections of an entry and the view of the fleet that comes from them.
type Pool struct {
	o       Options
	events  chan event
	lists   chan []host.Host
	clients atomic.Pointer[map[string]sidepb.SideClient]
	view    atomic.Pointer[member.View]

	// The fields below belong to the control goroutine.
	ctx    context.Context
	table  *member.Table
	peers  map[string]*peer
	nextID uint64
	dirty  bool      // the view lacks a change that matters at once
	viewAt time.Time // when the view was last rebuilt
	// pingedAt is when all connections were last looked at because one had gone silent.
	pingedAt time.Time
}

// New returns a pool without connections; Run starts it.
func New(o Options) (*Pool, error) {
	if o.Hosts == nil || o.Dial == nil || o.Log == nil {
		return nil, errors.New("link: host list, dialer and log must be set")
	}
	if o.Subset == nil {
		o.Subset = firstFew
	}
	if o.Offset == nil {
		o.Offset = func() int64 { return 0 }
	}
	if o.OnView == nil {
		o.OnView = func(member.View) {}
	}
	if o.OnStatus == nil {
		o.OnStatus = func(string, *sidepb.Status) {}
	}
	p := &Pool{
		o:      o,
		events: make(chan event, maxEvents),
		lists:  make(chan []host.Host),
		table:  member.New(o.Member),
		peers:  map[string]*peer{},
	}
	p.clients.Store(&map[string]sidepb.SideClient{})
	p.view.Store(&member.View{})
	return p, nil
}

func firstFew(v member.View) []string {
	var names []string
	for pool := range v.Pools {
		usable := v.Usable(pool)
		for _, u := range usable[:min(len(usable), defaultSubset)] {
			names = append(names, u.Name)
		}
	}
	return names
}

// Client returns the connection to an upstream, false while none has proved itself.
func (p *Pool) Client(name string) (sidepb.SideClient, bool) {
	c, ok := (*p.clients.Load())[name]
	return c, ok
}

// View returns the last view of the fleet.
func (p *Pool) View() member.View { return *p.view.Load() }

// Suspect reports that a call's connection went silent: it is replaced, and the upstream is blamed only if a new
// connection shows nothing either.
func (p *Pool) Suspect(name string) { p.hint(event{kind: suspected, name: name}) }

// Leaving reports that an incarnation of an upstream refused a call because it is leaving.
func (p *Pool) Leaving(name, incarnation string) {
	p.hint(event{kind: refused, name: name, incarnation: incarnation})
}

// Run keeps the connections until ctx ends, then closes them.
func (p *Pool) Run(ctx context.Context) error {
	p.ctx = ctx
	go p.pollHosts(ctx)
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	publish := time.NewTicker(publishInterval)
	defer publish.Stop()
	defer p.closeAll()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-p.events:
			p.handle(time.Now(), e)
		case list := <-p.lists:
			p.table = p.table.WithList(time.Now(), list)
			p.dirty = true
		case <-tick.C:
			p.tick(time.Now())
		case <-publish.C:
			p.publish(time.Now())
		}
	}
}

// pollHosts reads the host list; an error tells nothing and changes nothing.
func (p *Pool) pollHosts(ctx context.Context) {
	for {
		p.readHosts(ctx)
		select {
		case <-time.After(hosts.Interval(p.o.Hosts, timing.HostListInterval)):
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) readHosts(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, timing.HostListInterval)
	defer cancel()
	list, err := p.o.Hosts.Hosts(callCtx)
	if err != nil {
		if ctx.Err() == nil {
			p.o.Log.Warn("host list does not answer", zap.Error(err))
		}
		return
	}
	select {
	case p.lists <- list:
	case <-ctx.Done():
	}
}

func (p *Pool) closeAll() {
	p.clients.Store(&map[string]sidepb.SideClient{})
	for _, peer := range p.peers {
		peer.close()
	}
}

// publish rebuilds the snapshots that traffic reads, if anything changed.
func (p *Pool) publish(now time.Time) {
	if !p.dirty && now.Sub(p.viewAt) < refreshInterval {
		return
	}
	p.dirty = false
	p.viewAt = now
	old := p.View()
	v := p.table.View(now)
	p.view.Store(&v)
	p.logChanges(old, v)
	p.follow(now, v)
	p.publishClients()
	p.o.OnView(v)
}

func (p *Pool) publishClients() {
	clients := make(map[string]sidepb.SideClient, len(p.peers))
	for name, peer := range p.peers {
		if peer.current != nil {
			clients[name] = peer.current.conn
		}
	}
	p.clients.Store(&clients)
}

func (p *Pool) logChanges(old, v member.View) {
	for _, c := range v.Changes(old) {
		p.o.Log.Info("upstream state changed",
			zap.String("upstream", c.Upstream.Name), zap.String("pool", c.Upstream.Pool),
			zap.String("zone", c.Upstream.Zone), zap.String("before", string(c.Before)),
			zap.String("state", string(c.Upstream.State)), zap.String("reason", string(c.Upstream.Reason)),
			zap.String("incarnation", c.Upstream.Incarnation))
	}
}

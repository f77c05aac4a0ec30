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
	// tickInterval is how often the timeouts are checked.
	tickInterval = 500 * time.Millisecond
	// publishInterval is the shortest time between two views; it bounds how late a leaving upstream shows in them.
	publishInterval = 100 * time.Millisecond
	// refreshInterval is how often the view is rebuilt when only loads and the time have changed.
	refreshInterval = time.Second
	// defaultSubset is how many upstreams of each pool are connected when no subset is given.
	defaultSubset = 12
)

// Subset selects the names of the upstreams to connect to.
type Subset func(v member.View) []string

// Options configure a pool; Hosts, Dial and Log must be set.
type Options struct {
	Entry  string // name of this process
	Hosts  hosts.List
	Dial   Dialer
	Subset Subset       // nil selects the first usable ones of each pool by name
	Offset func() int64 // returns the newest known configuration offset; may be nil
	Member member.Options
	// OnView is called by the control goroutine with each new view; it must not block.
	OnView func(v member.View)
	// OnStatus is called by the control goroutine with each status; it must not block.
	OnStatus func(name string, st *sidepb.Status)
	Log      *zap.Logger
}

// Pool holds the connections of an entry and the view of the fleet derived from them.
type Pool struct {
	o         Options
	events    chan event
	hostLists chan []host.Host                             // replies of the host list
	clients   atomic.Pointer[map[string]sidepb.SideClient] // current connections by name of the upstream
	view      atomic.Pointer[member.View]

	// The fields below are used only by the control goroutine.
	ctx         context.Context
	table       *member.Table
	peers       map[string]*peer // by name of the upstream
	nextID      uint64           // ID of the newest connection
	viewStale   bool             // the view lacks a change that must be published soon
	viewBuiltAt time.Time        // when the view was last rebuilt
	// pingedAt is when all connections were last pinged because one had gone silent.
	pingedAt time.Time
}

// New returns a pool without connections; Run opens them. It fails if a required option is missing.
func New(o Options) (*Pool, error) {
	if o.Hosts == nil || o.Dial == nil || o.Log == nil {
		return nil, errors.New("link: host list, dialer and log must be set")
	}
	if o.Subset == nil {
		o.Subset = firstUsable
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
		o:         o,
		events:    make(chan event, eventQueueSize),
		hostLists: make(chan []host.Host),
		table:     member.New(o.Member),
		peers:     map[string]*peer{},
	}
	p.clients.Store(&map[string]sidepb.SideClient{})
	p.view.Store(&member.View{})
	return p, nil
}

// firstUsable is the Subset used when none is given.
func firstUsable(v member.View) []string {
	var names []string
	for pool := range v.Pools {
		usable := v.Usable(pool)
		for _, u := range usable[:min(len(usable), defaultSubset)] {
			names = append(names, u.Name)
		}
	}
	return names
}

// Client returns the connection to an upstream, false if there is none that works.
func (p *Pool) Client(name string) (sidepb.SideClient, bool) {
	c, ok := (*p.clients.Load())[name]
	return c, ok
}

// View returns the latest view of the fleet.
func (p *Pool) View() member.View { return *p.view.Load() }

// Suspect reports that a call's connection went silent. The connection is replaced, and the upstream becomes suspect
// only if the new connection is silent too.
func (p *Pool) Suspect(name string) { p.trySendEvent(event{kind: callSilent, name: name}) }

// Leaving reports that an incarnation of an upstream refused a call because it is leaving.
func (p *Pool) Leaving(name, incarnation string) {
	p.trySendEvent(event{kind: callRefused, name: name, incarnation: incarnation})
}

// Run maintains the connections until ctx ends, then closes them; it always returns nil.
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
			p.handleEvent(time.Now(), e)
		case list := <-p.hostLists:
			p.table = p.table.WithList(time.Now(), list)
			p.viewStale = true
		case <-tick.C:
			p.tick(time.Now())
		case <-publish.C:
			p.publish(time.Now())
		}
	}
}

// pollHosts reads the host list periodically; an error leaves the table as it is.
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

// readHosts reads the host list once and passes it to the control goroutine.
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
	case p.hostLists <- list:
	case <-ctx.Done():
	}
}

func (p *Pool) closeAll() {
	p.clients.Store(&map[string]sidepb.SideClient{})
	for _, peer := range p.peers {
		peer.close()
	}
}

// publish rebuilds the view and the clients if the view is stale or due for a refresh.
func (p *Pool) publish(now time.Time) {
	if !p.viewStale && now.Sub(p.viewBuiltAt) < refreshInterval {
		return
	}
	p.viewStale = false
	p.viewBuiltAt = now
	old := p.View()
	v := p.table.View(now)
	p.view.Store(&v)
	p.logChanges(old, v)
	p.applySubset(now, v)
	p.publishClients()
	p.o.OnView(v)
}

// publishClients makes the current connections available to Client.
func (p *Pool) publishClients() {
	clients := make(map[string]sidepb.SideClient, len(p.peers))
	for name, peer := range p.peers {
		if peer.current != nil {
			clients[name] = peer.current.conn
		}
	}
	p.clients.Store(&clients)
}

// logChanges logs each upstream whose state differs between two views.
func (p *Pool) logChanges(old, v member.View) {
	for _, c := range v.Changes(old) {
		p.o.Log.Info("upstream state changed",
			zap.String("upstream", c.Upstream.Name), zap.String("pool", c.Upstream.Pool),
			zap.String("zone", c.Upstream.Zone), zap.String("before", string(c.Before)),
			zap.String("state", string(c.Upstream.State)), zap.String("reason", string(c.Upstream.Reason)),
			zap.String("incarnation", c.Upstream.Incarnation))
	}
}

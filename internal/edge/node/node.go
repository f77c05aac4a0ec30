package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/ragworthatch/ragworthatch/internal/edge/balance"
	"github.com/ragworthatch/ragworthatch/internal/edge/front"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/edge/reset"
	"github.com/ragworthatch/ragworthatch/internal/edge/sock"
	"github.com/ragworthatch/ragworthatch/internal/edge/stats"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
	"github.com/ragworthatch/ragworthatch/internal/edge/verify"
	"github.com/ragworthatch/ragworthatch/internal/edge/wakeup"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/ledger"
	"github.com/ragworthatch/ragworthatch/internal/leader/link"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
	"github.com/ragworthatch/ragworthatch/internal/leader/registry"
	"github.com/ragworthatch/ragworthatch/internal/leader/serve"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
	"github.com/ragworthatch/ragworthatch/internal/limit/memory"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
	"github.com/ragworthatch/ragworthatch/internal/limit/resend"
	"github.com/ragworthatch/ragworthatch/internal/limit/shed"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
	"github.com/ragworthatch/ragworthatch/internal/ops/meter"
	"github.com/ragworthatch/ragworthatch/internal/ops/pause"
	"github.com/ragworthatch/ragworthatch/internal/wire/cellpb"
	"github.com/ragworthatch/ragworthatch/platform"
)

const (
	maxHeaderBytes      = 64 << 10 // of the ready and metrics servers, and of answers of the store
	headerTimeout       = 10 * time.Second
	idleTimeout         = 90 * time.Second // longer than any caller keeps an idle connection
	callerKeepAliveIdle = 5 * time.Second
	callerUserTimeout   = 5 * time.Second // TCP_USER_TIMEOUT towards callers
	storeDialTimeout    = 1 * time.Second
	storeIdleTimeout    = 20 * time.Second
	storeUserTimeout    = 2 * time.Second        // TCP_USER_TIMEOUT towards the store
	verifyDialTimeout   = 1 * time.Second        // to an upstream that may have crashed
	serveAfterTerm      = 3 * time.Second        // the balancer may still send new connections this long after SIGTERM
	exitMargin          = 300 * time.Millisecond // before the end of the grace period, the process exits
	refuseMargin        = 700 * time.Millisecond // before that end, requests without a decision are refused
	sweepEvery          = 1 * time.Second
	shareEvery          = 100 * time.Millisecond // well below the delay after which a grown share counts
	assumedEntries      = 8                      // least number of entries that the retry slack is divided by, as not all may be known yet
)

// Node is one entry: the process that accepts requests of callers and forwards them to upstreams.
type Node struct {
	settings      atomic.Pointer[platform.Settings]
	settingsPath  string
	settingsStamp fileStamp // of the settings file when it was first read

	metricsPort int   // 0 for the port of the settings
	born        int64 // time of the start, Unix ms

	budget   *resend.Budget
	crash    *crash.Tracker
	verify   *verify.Verifier
	meter    *meter.Meter
	stats    *stats.Stats
	log      *zap.Logger
	client   *uphttp.Client
	store    *platform.Store
	watch    *watch.Watcher
	lead     *lead.Coordinator
	registry *registry.Registry
	link     *link.Link
	ledger   *ledger.Ledger
	origins  *origin.Keeper
	service  atomic.Pointer[serve.Server] // for other entries
	picker   *balance.Picker
	notices  *notices.Record
	limits   *pace.Limiter[hosts.Lifetime]
	shed     *shed.Policy
	front    *front.Front
	memory   *memory.Budget // nil if the settings bound no memory
	intake   *intake.Intake
	leaving  atomic.Bool               // after SIGTERM
	exitAt   atomic.Pointer[time.Time] // nil before SIGTERM
	stopping atomic.Bool               // set serveAfterTerm after SIGTERM: new requests are refused
	ending   chan struct{}             // closed when requests without the leader's decision are to be refused
	inFlight atomic.Int64
}

// New builds an entry from the settings file at path, without starting anything. A metricsPort of 0 stands for the port
// of the settings. It fails if the settings are missing or invalid.
func New(path string, metricsPort int, log *zap.Logger) (*Node, error) {
	stamp := stampOf(path) // taken before the file is read, so that no change is missed
	s, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	n := &Node{settingsPath: path, settingsStamp: stamp, metricsPort: metricsPort, born: time.Now().UnixMilli(),
		log: log, ending: make(chan struct{})}
	n.settings.Store(&s)
	n.meter, err = meter.New(meter.Process{Role: "edge", Name: s.Name, Zone: s.Zone})
	if err != nil {
		return nil, err
	}
	n.stats = stats.New(n.meter, n.state)
	n.client = uphttp.New(platform.ReadAnswer, time.Now, func() {})
	store := platform.NewStore(s.StoreAddress, storeClient())
	n.store = store
	answered := wakeup.New()
	n.limits = pace.New[hosts.Lifetime](pace.Options{Share: n.limitShare, Now: time.Now})
	n.limits.LimitCold(pace.Cold[hosts.Lifetime]{Rate: n.coldRate, Share: n.coldShare, Bound: func() (overshoot, slack float64) {
		s := n.settings.Load()
		return s.ColdOvershoot, s.ColdSlack
	}})
	n.notices = notices.New(notices.Options{
		OnLeaving: func() { n.watch.RefreshLeaving() }, OnNotice: func(notice notices.Notice) { n.link.UpstreamNotice(s.Name, notice) },
		OnLimit: func(s pace.Statement[hosts.Lifetime]) bool { return n.link.ObserveLimit(s) },
		Now:     time.Now, Log: log.Named("heed"),
	})
	n.watch = watch.New(watch.Options{
		Store: store, Answered: answered, DrainWithin: func() time.Duration { return n.settings.Load().DrainWithin },
		Stats:          n.stats,
		ReportInterval: func() time.Duration { return n.settings.Load().ReportInterval },
		EvacuateWithin: func() time.Duration { return n.settings.Load().EvacuateWithin },
		RulesWithin:    func() time.Duration { return n.settings.Load().RulesWithin }, IsLeaving: n.notices.IsLeaving,
		AwaitsLeader: func() bool { return n.link.DefersReads() },
		Now:          time.Now, Log: log.Named("watch"),
	})
	n.crash = crash.New(crash.Options{
		Now: time.Now, Leads: func() bool { return n.link.Leads() }, HearsOthers: n.hearsOthers,
	})
	n.verify = verify.New(verify.Options{
		Dial: sock.Dialer(verifyDialTimeout, verifyDialTimeout).DialContext, Hosts: n.watch.Hosts,
		Report: func(r crash.Report) { n.link.Crashed(r) }, Now: time.Now, Log: log.Named("verify"),
	})
	n.picker = balance.New(time.Now)
	n.shed = shed.New(shed.Options{Leads: n.leadsOthers, Random: rand.Float64, Now: time.Now})
	leads := func() bool {
		_, follows := n.link.Leader()
		return !follows
	}
	n.origins = origin.New(strconv.FormatUint(rand.Uint64(), 36), origin.Options{
		Store: store, Hosts: n.watch.Hosts, Leads: leads, FirstStart: s.FirstStart, Stats: n.stats, Now: time.Now,
		Log:   log.Named("origin"),
		Pools: func() map[string]time.Duration { return n.watch.Rules().ResumablePools() },
	})
	n.lead = lead.New(lead.Options{
		Rules: n.watch.Rules, Hosts: n.watch.Hosts, Client: n.client, Crash: n.crash, Notices: n.notices,
		Limits: n.limits, Origins: n.origins, Stats: n.stats, MemoryShare: n.memoryShare,
		Now: time.Now, Log: log.Named("lead"),
		Codec: lead.Codec{
			RunPath: platform.StageRunPath, ReleasePath: platform.StageFreePath, EncodeBatch: platform.EncodeBatch,
			DecodeBatch: platform.DecodeBatch, EncodeRelease: platform.EncodeFree, HeaderFor: platform.StageHeader,
			ReportPath: platform.ReportPath, DecodeFreeBytes: platform.DecodeReport,
		},
	})
	n.registry = registry.New(registry.Options{
		Self: registry.Member{
			Host: s.Name, Address: netip.AddrPortFrom(s.IP, uint16(s.PeerPort)).String(), Zone: s.Zone, Cores: s.Cores,
			Born: n.born,
		},
		Store: store, Answered: answered, Now: time.Now, Log: log.Named("crew"),
	})
	n.link = link.New(link.Options{
		Self: s.Name, Local: n.lead, Members: n.registry.Members, MemberCount: n.registry.Size, MembersRead: n.registry.HasRead,
		Leaving: n.leaving.Load, Crash: n.crash, Limits: n.limits, Origins: n.origins,
		Confirm: n.watch.Confirm, AdoptRules: n.watch.Adopt, LacksRules: n.watch.ShouldPull, Notices: n.notices.Notices,
		ConfirmMembers: n.registry.Confirm, Zones: n.watch.Zones, ListReadAt: n.watch.ListReadAt,
		RulesVersion: func() int64 { return n.watch.Rules().Version() }, ObserveEra: store.ObserveEra, Now: time.Now, Log: log.Named("link"),
	})
	n.ledger = ledger.New(ledger.Options{
		Store: store, Crash: n.crash, Now: time.Now, Log: log.Named("ledger"),
		Leads: leads,
	})
	n.budget = resend.New(s.RetryWindow, func() int { return max(assumedEntries, n.registry.Size()) }, time.Now)
	n.budget.Set(s.RetryRatio, s.RetrySlack)
	n.boundMemory(s)
	n.front = front.New(front.Options{
		Host: s.Name, Zone: s.Zone,
		Codec: front.Codec{
			ReadRequest: platform.ReadRequest, ForwardHeader: platform.ForwardHeader,
			AnswerHeader: platform.ResponseHeader,
			RetryAfter:   platform.FormatRetryAfter,
		},
		Rules: n.watch.Rules, Hosts: n.watch.Hosts, Leader: n.link, Client: n.client, Picker: n.picker, Notices: n.notices,
		Permit:   n.link.Permit,
		Short:    n.shed.Refuse,
		Budget:   n.budget,
		Stats:    n.stats,
		Crash:    n.crash,
		Verify:   n.verify,
		Origins:  n.origins,
		Stopping: n.stopping.Load, Leaving: n.leaving.Load, ExitAt: n.plannedExit, Ending: n.ending,
		Intake: n.intake, Memory: n.memory,
		Now: time.Now, Log: log.Named("front"),
	})
	return n, nil
}

// state returns the values of the gauges.
func (n *Node) state() stats.Gauges {
	now := time.Now()
	open, queued := n.lead.Load()
	use := n.lead.Occupancy()
	return stats.Gauges{
		ProcessorWait: n.shed.Wait(), Pools: use.Pools, Engines: use.Engines,
		OpenOrders: open, QueuedPieces: queued,
		ConfigVersion: n.watch.Rules().Version(), ConfigAge: now.Sub(n.watch.RulesReadAt()),
		ListAge: now.Sub(n.watch.Hosts().Read()),
		Members: int64(n.registry.Size()), Leads: n.link.Leads(), InFlight: n.inFlight.Load(),
		Blocks: int64(len(n.crash.Blocks())), Limited: int64(n.limits.Limited() - n.limits.Cold()),
		Cold:           n.coldUpstreams(),
		EvacuatedZones: int64(len(n.watch.Hosts().Evacuated())),
		Connections:    int64(n.intake.Connections()), Held: n.heldMemory(),
	}
}

// storeClient returns an HTTP client that detects dead connections to the store by TCP_USER_TIMEOUT, and resets while
// records are being sent.
func storeClient() *http.Client {
	dialer := sock.Dialer(storeDialTimeout, storeUserTimeout)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return reset.New(conn), nil
	}
	return &http.Client{Transport: &http.Transport{
		DialContext: dial, DisableCompression: true,
		IdleConnTimeout: storeIdleTimeout, MaxIdleConnsPerHost: 4, MaxResponseHeaderBytes: maxHeaderBytes,
	}}
}

// Run serves until stop ends, then finishes the requests in flight within the grace period; the end of kill makes it
// return at once. It fails if it cannot listen or serve.
func (n *Node) Run(stop, kill context.Context) error {
	ctx, cancel := context.WithCancel(kill)
	defer cancel()
	settings := n.settings.Load()
	n.log.Info("start", zap.String("host", settings.Name), zap.String("zone", settings.Zone),
		zap.String("front", settings.FrontAddress), zap.String("store", settings.StoreAddress))
	go n.followSettings(ctx)
	go n.watch.Run(ctx)
	go n.lead.Run(ctx)
	go n.registry.Run(ctx)
	go n.link.Run(ctx)
	go n.ledger.Run(ctx)
	go n.origins.Run(ctx)
	go n.sweep(ctx)
	if settings.CoresNamed {
		go n.measure(ctx)
	}
	peers, err := n.servePeers(ctx)
	if err != nil {
		return err
	}
	defer peers.Stop()
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	callers := &http.Server{Handler: http.HandlerFunc(n.serve)}
	n.intake.Attach(callers)
	metrics := &http.Server{Handler: n.operatorHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes}
	failed := make(chan error, 3)
	for address, server := range map[string]*http.Server{
		settings.ReadyAddress: ready, settings.FrontAddress: callers, n.metricsAddress(): metrics,
	} {
		listener, err := listen(ctx, address, server == callers && n.memory != nil)
		if err != nil {
			return err
		}
		if server == callers {
			listener = n.intake.Listen(listener)
		}
		go func() { failed <- server.Serve(listener) }()
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-stop.Done():
	case <-kill.Done():
		return nil
	}
	n.drain(kill, callers)
	n.log.Info("stop", zap.Int64("inFlight", n.inFlight.Load()))
	return nil
}

// servePeers starts the gRPC server through which other entries use this one as their leader.
func (n *Node) servePeers(ctx context.Context) (*grpc.Server, error) {
	settings := n.settings.Load()
	listener, err := listen(ctx, netip.AddrPortFrom(settings.IP, uint16(settings.PeerPort)).String(), false)
	if err != nil {
		return nil, err
	}
	server := grpc.NewServer(serve.Recover(n.log.Named("serve"))...)
	service := serve.New(serve.Options{
		Dispatcher: n.lead, Born: n.born, Leaving: n.leaving.Load, Leader: n.link.Leader, Crash: n.crash, Limits: n.limits,
		Origins: n.origins, Hosts: n.watch.SharedHosts, ObserveRead: n.watch.ObserveRead,
		Zones: n.watch.Zones, ObserveZones: n.watch.ObserveZones,
		Rules: n.sharedRules, Era: n.store.Era, Crew: n.registry.View,
		Now: time.Now, Log: n.log.Named("serve"),
	})
	n.service.Store(service)
	cellpb.RegisterCellServer(server, service)
	go func() {
		if err := server.Serve(listener); err != nil {
			n.log.Error("peer server failed, other entries can't reach this one", zap.Error(err))
		}
	}()
	return server, nil
}

// hearsOthers reports whether other entries follow this one, or there are none.
func (n *Node) hearsOthers() bool {
	service := n.service.Load()
	return n.registry.Size() <= 1 || (service != nil && service.Entries() > 0)
}

// ownService returns the service for the entries that follow this one; nil if it follows another one, or serves none yet.
func (n *Node) ownService() *serve.Server {
	if _, follows := n.link.Leader(); follows {
		return nil
	}
	return n.service.Load()
}

// limitShare returns the part of the limits of upstreams that this process may use for itself and the entries that
// follow it: none if it follows another one, and all if most entries follow it, so that others can't use as much.
func (n *Node) limitShare() float64 {
	service := n.ownService()
	if service == nil {
		return 0
	}
	return pace.Part(service.Entries()+1, n.registry.Size())
}

// coldShare returns the part of the limits of cold upstreams that this process may use: none once it leaves, as the next
// leader may have the whole by then.
func (n *Node) coldShare() float64 {
	service := n.ownService()
	if service == nil || n.leaving.Load() {
		return 0
	}
	return pace.Part(service.Followers()+1, n.registry.Size())
}

// coldRate returns the requests per second that an upstream accepts from all entries together while it is cold.
func (n *Node) coldRate(l hosts.Lifetime) (rate float64, cold bool) {
	if !n.watch.Rules().HasCold() {
		return 0, false
	}
	u, listed := n.watch.Hosts().Get(l.ID)
	if !listed || u.ColdUntilMs == 0 || u.Lifetime() != l || time.Now().UnixMilli() >= u.ColdUntilMs {
		return 0, false
	}
	p, _ := n.watch.Rules().Pool(u.Pool)
	return p.Cold.PerSecond, p.Cold.PerSecond > 0
}

// memoryShare returns the part of the engines' memory that this process may give out: that of itself and of the entries
// that follow it, once they have told which requests run. It is 0 if it follows another one.
func (n *Node) memoryShare() float64 {
	service := n.ownService()
	if service == nil {
		return 0
	}
	return min(1, float64(service.Told()+1)/float64(max(1, n.registry.Size())))
}

// sharedRules returns the configuration that other entries may adopt.
func (n *Node) sharedRules() serve.Rules {
	seen, body := n.watch.RawRules()
	return serve.Rules{Version: seen.Version, Body: body, Read: seen.ConfirmedAt, Offset: seen.Offset,
		Era: seen.Era}
}

// metricsAddress returns the address that serves the metrics. Its port is MetricsPort of the settings, unless the
// command line names another one.
func (n *Node) metricsAddress() string {
	port := n.settings.Load().MetricsPort
	if n.metricsPort > 0 {
		port = n.metricsPort
	}
	return netip.AddrPortFrom(n.settings.Load().IP, uint16(port)).String()
}

// listen opens a TCP listener; keepalive probes and TCP_USER_TIMEOUT end connections whose peer no longer answers. With
// bounded, the receive buffers of its connections are those of intake.
func listen(ctx context.Context, address string, bounded bool) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: callerKeepAliveIdle, Interval: time.Second, Count: 3},
		Control:         sock.UserTimeout(callerUserTimeout),
	}
	if bounded {
		config.Control = sock.ReceiveBuffer(intake.ReceiveBufferBytes, config.Control)
	}
	listener, err := config.Listen(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", address, err)
	}
	return listener, nil
}

// serve handles a request of a caller and counts it as in flight.
func (n *Node) serve(w http.ResponseWriter, r *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	n.front.ServeHTTP(w, r)
}

// serveReady answers the balancer's probes.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadinessPath:
		w.WriteHeader(http.StatusNotFound)
	case n.leaving.Load() || n.watch.Rules().Version() == 0 || n.watch.Hosts().Read().IsZero():
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// drain serves on for serveAfterTerm, so that the balancer can stop sending, and then waits for the requests in flight
// until shortly before the end of the grace period.
func (n *Node) drain(kill context.Context, callers *http.Server) {
	grace := n.settings.Load().Grace
	exit := time.Now().Add(grace - exitMargin)
	n.exitAt.Store(&exit)
	n.leaving.Store(true)
	n.log.Info("shutting down", zap.Int64("inFlight", n.inFlight.Load()), zap.Duration("grace", grace))
	begun := time.Now()
	go n.registry.Leave(kill)
	pause.For(kill, serveAfterTerm)
	n.stopping.Store(true)
	ctx, cancel := context.WithDeadline(kill, exit)
	defer cancel()
	refuse := time.AfterFunc(time.Until(begun.Add(grace-refuseMargin)), func() { close(n.ending) })
	defer refuse.Stop()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn("requests are cut off at the end of the grace period", zap.Int64("inFlight", n.inFlight.Load()),
			zap.Error(err))
		_ = callers.Close()
	}
	n.lead.Finish(ctx)
	n.link.Close()
}

// plannedExit returns when this process exits; zero before SIGTERM.
func (n *Node) plannedExit() time.Time {
	if at := n.exitAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// sweep regularly closes idle connections and drops the state of upstreams that are gone.
func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	shares := time.NewTicker(shareEvery)
	defer shares.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-shares.C:
			if n.watch.Rules().HasCold() {
				n.limits.ObserveShare()
			}
		case <-ticker.C:
			n.client.Sweep()
			n.intake.Sweep()
			n.verify.Check()
			n.picker.Forget(n.watch.Hosts())
			n.notices.Forget(n.watch.Hosts())
			n.limits.Forget(n.isListed)
		}
	}
}

// coldUpstreams counts the upstreams that are known to be cold.
func (n *Node) coldUpstreams() int64 {
	count := int64(0)
	for _, u := range n.watch.Hosts().All() {
		if _, cold := n.coldRate(u.Lifetime()); cold {
			count++
		}
	}
	return count
}

// isListed reports whether a lifetime of an upstream is in the list.
func (n *Node) isListed(l hosts.Lifetime) bool {
	u, ok := n.watch.Hosts().Get(l.ID)
	return ok && u.Lifetime() == l
}

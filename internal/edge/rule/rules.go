package rule

import (
	"slices"
	"strings"
	"time"
)

// Kind says whether a request may run more than once.
type Kind string

// The kinds of routes.
const (
	Safe      Kind = "safe"      // may run more than once
	Unsafe    Kind = "unsafe"    // may run once at most
	Streaming Kind = "streaming" // answered by a series of events; unsafe unless the route is resumable
)

// Share is the part of a route's requests that goes to a pool; weights are relative.
type Share struct {
	Pool   string
	Weight int
}

// Stage is a step of the pipeline that runs before the request itself.
type Stage struct {
	Pool        string
	After       []int // indexes of the stages whose results it needs
	ResultBytes int64 // approximate size of the result of one piece
}

// Route says how the requests below a host and a path prefix are handled.
type Route struct {
	Name           string
	Host           string
	Prefix         string // begins and ends with a slash
	Kind           Kind
	Timeout        time.Duration // after which the caller gets an error
	Target         time.Duration // an answer, or first event, within this time has its full value
	TargetEventGap time.Duration // the longest gap between events that is still on time
	Priority       int           // 0 is the most urgent
	Attempts       int           // most upstreams that one request is sent to
	Split          []Share
	Stages         []Stage
	Public         bool // needs no key
	Resumable      bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Safe }

// PickPool returns the pool for a random point in [0, 1), so that pools get requests by their weights; empty if the
// route has none.
func (r Route) PickPool(point float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	at := point * float64(total)
	for _, s := range r.Split {
		at -= float64(s.Weight)
		if at < 0 && s.Weight > 0 {
			return s.Pool
		}
	}
	return ""
}

// Batch describes a pool whose upstreams take the pieces of stages in batches.
type Batch struct {
	Size            int           // pieces in one call
	Call            time.Duration // time of a call besides that of its pieces
	Piece           time.Duration // additional time for each piece
	Headroom        int64         // memory of one upstream for results, in bytes
	ResultRetention time.Duration // how long results are kept
}

// Engine describes a pool of model engines.
type Engine struct {
	Slots  int // requests that run at once
	Tokens int // tokens that fit in the memory of one upstream
}

// Cold describes the upstreams of a pool after their start, and whenever they say that they are cold.
type Cold struct {
	Start     time.Duration // for which an upstream is cold after its start
	PerSecond float64       // requests per second that a cold one accepts from all callers; 0 if the pool has no cold ones
}

// Pool is a group of upstreams that offer the same service.
type Pool struct {
	Name        string
	Connections int // most that one upstream accepts from all callers
	Cold        Cold
	Batch       *Batch
	Engine      *Engine
}

// Team is a group of callers that share keys.
type Team struct {
	Name        string
	HasPriority bool
	Priority    int // takes precedence over that of the route
}

// Limits bound what callers may send; a field that is zero is not set.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration // from the first byte of a header to its end
	IdleTimeout   time.Duration // of a connection without a request
}

// Rules is one immutable version of the configuration.
type Rules struct {
	version  int64
	byHost   map[string]prefixes
	pools    map[string]Pool
	teams    map[string]Team // by API key
	needsKey bool
	hasCold  bool
	limits   Limits
	ranked   bool // not all requests have the same priority
	// resumable holds the pools of resumable routes, with their longest timeout.
	resumable map[string]time.Duration
}

// prefixes holds the routes of one host by their prefix, which ends with a slash.
type prefixes struct {
	routes  map[string]Route
	longest int // length of the longest prefix in bytes
}

// New returns the rules of a version; the keys of teams are API keys. Of routes with the same host and prefix, the
// first one holds.
func New(version int64, routes []Route, pools []Pool, teams map[string]Team, limits Limits) *Rules {
	r := &Rules{
		version: version, byHost: map[string]prefixes{}, pools: make(map[string]Pool, len(pools)), teams: teams,
		limits: limits, resumable: map[string]time.Duration{},
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		set := r.byHost[host]
		if set.routes == nil {
			set.routes = map[string]Route{}
		}
		if _, taken := set.routes[route.Prefix]; !taken {
			set.routes[route.Prefix] = route
		}
		set.longest = max(set.longest, len(route.Prefix))
		r.byHost[host] = set
		if !route.Resumable {
			continue
		}
		for _, s := range route.Split {
			r.resumable[s.Pool] = max(r.resumable[s.Pool], route.Timeout)
		}
	}
	r.ranked = prioritiesDiffer(routes, teams)
	for _, p := range pools {
		r.pools[p.Name] = p
		r.hasCold = r.hasCold || p.Cold.PerSecond > 0
	}
	return r
}

// prioritiesDiffer reports whether the priorities of routes and teams are not all the same.
func prioritiesDiffer(routes []Route, teams map[string]Team) bool {
	differs := func(priority int) bool { return priority != routes[0].Priority }
	if len(routes) == 0 {
		return false
	}
	for _, t := range teams {
		if t.HasPriority && differs(t.Priority) {
			return true
		}
	}
	return slices.ContainsFunc(routes, func(r Route) bool { return differs(r.Priority) })
}

// Ranked reports whether the priorities of routes and teams differ, so that requests compete by rank.
func (r *Rules) Ranked() bool { return r.ranked }

// Version is the version of the configuration; a newer one has a higher number.
func (r *Rules) Version() int64 { return r.version }

// ResumablePools returns the pools whose streams may be taken up, with the longest timeout of their routes. It must not
// be changed.
func (r *Rules) ResumablePools() map[string]time.Duration { return r.resumable }

// Limits returns the bounds on what callers may send.
func (r *Rules) Limits() Limits { return r.limits }

// HasCold reports whether some pool has cold upstreams.
func (r *Rules) HasCold() bool { return r.hasCold }

// Match returns the route of the host with the longest prefix of the path. It tries only the prefixes that end with a
// slash, so the time does not grow with the number of routes.
func (r *Rules) Match(host, path string) (Route, bool) {
	set := r.byHost[strings.ToLower(host)]
	for path = path[:min(len(path), set.longest)]; ; path = path[:len(path)-1] {
		path = path[:strings.LastIndexByte(path, '/')+1]
		if path == "" {
			return Route{}, false
		}
		if route, ok := set.routes[path]; ok {
			return route, true
		}
	}
}

// Pool returns a pool by name.
func (r *Rules) Pool(name string) (Pool, bool) {
	p, ok := r.pools[name]
	return p, ok
}

// WithKeys returns a copy of the rules that does or does not require a key on routes that are not public.
func (r *Rules) WithKeys(needed bool) *Rules {
	out := *r
	out.needsKey = needed
	return &out
}

// NeedsKey reports whether requests of routes that are not public must carry a key.
func (r *Rules) NeedsKey() bool { return r.needsKey }

// Team returns the team that holds a key. Nobody holds the empty key, which stands for none.
func (r *Rules) Team(key string) (Team, bool) {
	if key == "" {
		return Team{}, false
	}
	t, ok := r.teams[key]
	return t, ok
}

// Pools lists all pools, in no order.
func (r *Rules) Pools() []Pool {
	out := make([]Pool, 0, len(r.pools))
	for _, p := range r.pools {
		out = append(out, p)
	}
	return out
}

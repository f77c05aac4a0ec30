package rule

import (
	"strings"
	"time"
)

// Kind says what may be done to a request again.
type Kind string

// The kinds of routes.
const (
	Safe      Kind = "safe"      // may run more than once
	Unsafe    Kind = "unsafe"    // may run once at most
	Streaming Kind = "streaming" // answered by a series of events; unsafe unless the route is resumable
)

// Share is a pool's part of the requests of a route.
type Share struct {
	Pool   string
	Weight int
}

// Stage is work that must be done before a request can run.
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
	Timeout        time.Duration // the longest time that a caller is kept waiting
	Target         time.Duration // an answer, or the first event of one, earns its full worth until then
	TargetEventGap time.Duration // the longest pause between events that is still on time
	Priority       int           // 0 is the most urgent
	Attempts       int           // upstreams that may get one request
	Split          []Share
	Stages         []Stage
	Public         bool // needs no key
	Resumable      bool
}

// Repeatable says whether a request of the route may run more than once.
func (r Route) Repeatable() bool { return r.Kind == Safe }

// PickPool returns the pool for a point between 0 and 1 that is drawn evenly; empty when the route names none.
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
	Call            time.Duration // work of a call, whatever it holds
	Piece           time.Duration // further work of each piece
	Headroom        int64         // bytes for results at one upstream
	ResultRetention time.Duration // how long results are kept
}

// Engine describes a pool of model engines.
type Engine struct {
	Slots  int // requests that run at once
	Tokens int // tokens that fit in the memory of one upstream
}

// Pool is a service that upstreams offer.
type Pool struct {
	Name        string
	Connections int // that one upstream takes from all callers
	Batch       *Batch
	Engine      *Engine
}

// Team is a group of callers that share keys.
type Team struct {
	Name        string
	HasPriority bool
	Priority    int // takes precedence over that of the route
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes int64
}

// Rules is one version of the configuration; it does not change once made.
type Rules struct {
	version int64
	byHost  map[string]prefixes
	pools   map[string]Pool
	teams   map[string]Team
	keyed   bool
	limits  Limits
}

// prefixes are the routes of a host by their prefix, which ends with a slash.
type prefixes struct {
	routes  map[string]Route
	longest int // bytes of a prefix
}

// New returns the rules of a version; teams are by key.
func New(version int64, routes []Route, pools []Pool, teams map[string]Team, limits Limits) *Rules {
	r := &Rules{
		version: version, byHost: map[string]prefixes{}, pools: make(map[string]Pool, len(pools)), teams: teams, limits: limits,
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		of := r.byHost[host]
		if of.routes == nil {
			of.routes = map[string]Route{}
		}
		if _, taken := of.routes[route.Prefix]; !taken {
			of.routes[route.Prefix] = route
		}
		of.longest = max(of.longest, len(route.Prefix))
		r.byHost[host] = of
	}
	for _, p := range pools {
		r.pools[p.Name] = p
	}
	return r
}

// Version orders configurations.
func (r *Rules) Version() int64 { return r.version }

// Limits bound what callers may send.
func (r *Rules) Limits() Limits { return r.limits }

// Match returns the route with the longest prefix of the path.
func (r *Rules) Match(host, path string) (Route, bool) {
	of := r.byHost[strings.ToLower(host)]
	for path = path[:min(len(path), of.longest)]; ; path = path[:len(path)-1] {
		path = path[:strings.LastIndexByte(path, '/')+1]
		if path == "" {
			return Route{}, false
		}
		if route, ok := of.routes[path]; ok {
			return route, true
		}
	}
}

// Pool returns a pool by name.
func (r *Rules) Pool(name string) (Pool, bool) {
	p, ok := r.pools[name]
	return p, ok
}

// WithKeys returns rules under which requests of routes that are not public must carry a key, or need none.
func (r *Rules) WithKeys(needed bool) *Rules {
	out := *r
	out.keyed = needed
	return &out
}

// NeedsKey says whether requests of routes that are not public must carry a key.
func (r *Rules) NeedsKey() bool { return r.keyed }

// Team returns the team that holds a key.
func (r *Rules) Team(key string) (Team, bool) {
	t, ok := r.teams[key]
	return t, ok
}

// Pools lists all pools.
func (r *Rules) Pools() []Pool {
	out := make([]Pool, 0, len(r.pools))
	for _, p := range r.pools {
		out = append(out, p)
	}
	return out
}

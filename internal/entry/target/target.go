package target

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Router picks an upstream for each attempt.
type Router interface {
	// Route picks an upstream; the error is a *fault.Error with NotRun.
	Route(q Query) (Target, error)
	// Side returns the current connection to an upstream's side.
	Side(name string) (sidepb.SideClient, bool)
	// Suspect reports a connection that went silent.
	Suspect(name string)
}

// Query says what an attempt needs.
type Query struct {
	Request  string
	Stage    string
	Pool     string
	Model    string
	Class    pipe.SizeClass
	Prefix   string   // digest of the prompt's prefix
	Avoid    []string // upstreams tried before
	Revision int64
	Hedge    bool
	Expected time.Duration // usual time of the stage; 0 when unknown
}

// Target is the upstream picked for an attempt.
type Target struct {
	Name        string
	Zone        string
	Incarnation string
	Side        sidepb.SideClient
	// Done takes the end of the attempt; call it once.
	Done func(Report)
}

// Report is what an attempt showed of its upstream.
type Report struct {
	Took   time.Duration
	Load   *sidepb.Load
	Fault  *fault.Error // nil when the answer came whole
	Cached bool         // part of the prompt was in the upstream's cache
}

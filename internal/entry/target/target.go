package target

import (
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// Router picks an upstream for each attempt.
type Router interface {
	// Route picks an upstream; the error is a *fault.Error with the verdict NotRun.
	Route(q Query) (Target, error)
	// Side returns the current connection to an upstream's side.
	Side(name string) (sidepb.SideClient, bool)
	// Suspect reports a connection that went silent.
	Suspect(name string)
}

// Query is the requirements of an attempt.
type Query struct {
	Request  string // ID of the request, for the log
	Stage    string
	Pool     string
	Model    string
	Version  string // the only version of the model's weights that may be used; empty for any
	Class    pipe.SizeClass
	Prefix   string   // digest of the prompt's prefix
	Avoid    []string // upstreams tried before
	Revision int64    // configuration revision of the request, for the log
	Hedge    bool
	Expected time.Duration // usual time of the stage; 0 when unknown
}

// Target is the upstream picked for an attempt.
type Target struct {
	Name        string
	Zone        string
	Incarnation string
	Side        sidepb.SideClient
	Version     string // of the loaded weights; empty if unknown
	// Done reports the end of the attempt; it must be called once.
	Done func(Report)
}

// Report is what an attempt tells about its upstream.
type Report struct {
	Took   time.Duration
	Load   *sidepb.Load
	Fault  *fault.Error // nil when the answer is complete
	Cached bool         // part of the prompt was cached by the upstream
}

package opsapi

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/zeromicro/go-zero/rest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/front"
	"github.com/ragworthatch/ragworthatch/internal/entry/index"
	"github.com/ragworthatch/ragworthatch/internal/fleet/link"
	"github.com/ragworthatch/ragworthatch/internal/fleet/member"
	"github.com/ragworthatch/ragworthatch/internal/fleet/poison"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/report"
	"github.com/ragworthatch/ragworthatch/internal/state/atomval"
	"github.com/ragworthatch/ragworthatch/internal/state/feed"
	"github.com/ragworthatch/ragworthatch/internal/state/publish"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

// maxBodyBytes is the maximum size of a request body, such as a published change.
const maxBodyBytes = 8 << 20

// Links are the connections to the sides.
type Links interface {
	View() member.View
	Client(name string) (sidepb.SideClient, bool)
}

// Actions queries and settles the outcomes of actions.
type Actions interface {
	Outcome(ctx context.Context, team, service, key string) (front.Outcome, *fault.Error)
	Settle(ctx context.Context, req *sidepb.SettleRequest) (front.Outcome, *fault.Error)
	Services() []string
	InDoubt(ctx context.Context, service string, limit uint32) (*sidepb.DoubtsReply, *fault.Error)
}

// Guard tells whether this entry accepts requests, and how many are in flight.
type Guard interface {
	Ready() *fault.Error
	Draining() bool
	InFlight() int
}

// Options are the dependencies of an API.
type Options struct {
	Name        string
	Zone        string
	TokenDigest string // hex SHA-256 of a token that does not depend on the configuration; may be empty
	Index       func() *index.Index
	Feed        *feed.Feed
	Publisher   *publish.Publisher
	Actions     Actions
	Links       Links
	Dial        link.Dialer // connects to sides that this entry keeps no connection to
	Marks       *atomval.Value[*poison.Set]
	Drain       func() (inFlight int) // drains this entry
	Guard       Guard
	// Versions returns the configuration versions that processes last reported; may be nil.
	Versions func(context.Context) []report.Version
	// Ejected returns the upstreams that this entry has ejected; may be nil.
	Ejected func() []string
	Log     *zap.Logger
}

// API implements the operators' calls.
type API struct {
	opts Options
}

// New returns an API with the given dependencies.
func New(o Options) *API { return &API{opts: o} }

// Routes returns the routes for operators.
func (a *API) Routes() []rest.Route {
	return []rest.Route{
		route(a, http.MethodPost, admin.PathPublish, a.publish),
		route(a, http.MethodPost, admin.PathPreset, a.preset),
		route(a, http.MethodPost, admin.PathSettle, a.settle),
		route(a, http.MethodGet, admin.PathConfig, a.config),
		route(a, http.MethodGet, admin.PathStatus, a.status),
		route(a, http.MethodGet, admin.PathHandover, a.handover),
		route(a, http.MethodPost, admin.PathDrain, a.drain),
		route(a, http.MethodGet, admin.PathOutcome, a.outcome),
		route(a, http.MethodPost, admin.PathOutcome, a.settleAction),
		route(a, http.MethodGet, admin.PathQuarantine, a.quarantine),
		route(a, http.MethodPost, admin.PathLift, a.lift),
	}
}

// noBody is the input type of calls without a body.
type noBody struct{}

// route wraps a typed handler with authentication, decoding and encoding.
func route[In, Out any](a *API, method, path string, h func(*http.Request, In) (Out, *fault.Error)) rest.Route {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if err := a.authenticate(r); err != nil {
			front.WriteError(w, err)
			return
		}
		var in In
		if err := decode(w, r, &in); err != nil {
			front.WriteError(w, err)
			return
		}
		out, err := h(r, in)
		if err != nil {
			front.WriteError(w, err)
			return
		}
		front.WriteJSON(w, http.StatusOK, out)
	}
	return rest.Route{Method: method, Path: path, Handler: handler}
}

// authenticate accepts the token from the settings and those of teams of operators.
func (a *API) authenticate(r *http.Request) *fault.Error {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return fault.New(fault.NotRun, fault.Unauthorized, "the Authorization header must carry an operator's bearer token")
	}
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	if a.opts.TokenDigest != "" && subtle.ConstantTimeCompare([]byte(digest), []byte(a.opts.TokenDigest)) == 1 {
		return nil
	}
	t, ok := a.opts.Index().Team(token)
	if !ok {
		return fault.New(fault.NotRun, fault.Unauthorized, "the bearer token belongs to no team")
	}
	if !t.Operator {
		return fault.New(fault.NotRun, fault.Forbidden, "team %q may not make operators' calls", t.Name)
	}
	return nil
}

// decode parses a JSON body strictly; GET requests have none.
func decode(w http.ResponseWriter, r *http.Request, into any) *fault.Error {
	if r.Method == http.MethodGet {
		return nil
	}
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fault.New(fault.NotRun, fault.BadRequest, "the body can't be read").WithCause(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fault.New(fault.NotRun, fault.BadRequest, "the body goes on after its end")
	}
	return nil
}

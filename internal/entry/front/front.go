package front

import (
	"context"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/index"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
)

// Runner runs an admitted request.
type Runner interface {
	Run(ctx context.Context, r task.Request, sink exec.Sink) (exec.Answer, *exec.Failure)
}

// Admitter decides whether a valid request may start.
type Admitter interface {
	// Admit returns the request to run, perhaps changed, or an error with the verdict NotRun.
	Admit(r task.Request) (task.Request, *fault.Error)
	// Ready returns why no request can start now, or nil.
	Ready() *fault.Error
	// Begin and End count requests in flight, so that a drain can wait for them.
	// Begin returns an error if there can't be one more.
	Begin() *fault.Error
	End()
}

// Outcomes looks up the recorded outcomes of actions.
type Outcomes interface {
	// Outcome returns the outcome of a team's key on one service, or on any if service is empty.
	Outcome(ctx context.Context, team, service, key string) (Outcome, *fault.Error)
}

// Observer is told about finished requests.
type Observer interface {
	Finished(r Record)
}

// Record describes a finished request.
type Record struct {
	Team       string
	Pipeline   string
	Preset     string
	Code       fault.Code // empty on success
	Verdict    fault.Verdict
	Took       time.Duration
	FirstToken time.Duration // from arrival to the first token; 0 without tokens
	Late       bool          // complete, but after the deadline
}

// Options are the dependencies of a Front.
type Options struct {
	Index    func() *index.Index
	Runner   Runner
	Admitter Admitter
	Outcomes Outcomes
	Observer Observer
	Intake   *intake.Intake // reads the bodies of requests; nil stands for one without bounds
	Log      *zap.Logger
	Now      func() time.Time
}

// Front serves callers.
type Front struct {
	opts Options
}

// New returns a Front with the given dependencies.
func New(o Options) *Front {
	if o.Intake == nil {
		o.Intake = intake.New(intake.Options{Limits: func() intake.Limits { return intake.Limits{} }, Now: o.Now, Log: o.Log})
	}
	return &Front{opts: o}
}

// Routes returns the routes for callers and for the health checks of the platform's load balancer.
func (f *Front) Routes() []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/v1/pipelines/:pipeline", Handler: f.run},
		{Method: http.MethodGet, Path: "/v1/outcomes/:key", Handler: f.outcome},
		{Method: http.MethodGet, Path: "/healthz", Handler: f.healthy},
		{Method: http.MethodGet, Path: "/readyz", Handler: f.ready},
	}
}

// healthy handles GET /healthz: the process answers.
func (f *Front) healthy(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

// ready handles GET /readyz: the entry can start requests.
func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if err := f.opts.Admitter.Ready(); err != nil {
		WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

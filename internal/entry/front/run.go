package front

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
)

// run handles POST /v1/pipelines/{pipeline}.
func (f *Front) run(w http.ResponseWriter, r *http.Request) {
	start := f.opts.Now()
	if err := f.opts.Admitter.Begin(); err != nil {
		WriteError(w, err)
		return
	}
	defer f.opts.Admitter.End()
	var body *intake.Body // the parts of the request that come from it use its memory until the end
	defer func() { body.Release() }()
	req, stream, err := f.parse(w, r, start, &body)
	if err == nil {
		req, err = f.opts.Admitter.Admit(req)
	}
	if err != nil {
		f.refuse(w, req, err, start)
		return
	}
	f.serve(w, r, req, stream, start)
}

// serve runs an admitted request and sends its answer or failure.
func (f *Front) serve(w http.ResponseWriter, r *http.Request, req task.Request, stream bool, start time.Time) {
	var sink exec.Sink
	var events *eventStream
	if stream {
		events = newEventStream(w, req, f.opts.Now)
		sink = events
	}
	ans, fail := f.opts.Runner.Run(r.Context(), req, sink)
	f.recordFinished(req, fail, start, events)
	switch {
	case fail != nil && events.hasStarted():
		events.fail(fail)
	case fail != nil:
		writeFailure(w, req.Label, fail)
	case stream:
		events.finish(ans)
	default:
		writeAnswer(w, req, ans)
	}
}

// refuse sends the error of a request that was not started.
func (f *Front) refuse(w http.ResponseWriter, req task.Request, err *fault.Error, start time.Time) {
	fail := &exec.Failure{Error: err}
	if req.HasAction() {
		fail.Action = err.Verdict
	}
	f.recordFinished(req, fail, start, nil)
	writeFailure(w, req.Label, fail)
}

// recordFinished logs a finished request and passes it to the observer.
func (f *Front) recordFinished(req task.Request, fail *exec.Failure, start time.Time, events *eventStream) {
	now := f.opts.Now()
	rec := Record{
		Team:     req.Team.Name,
		Pipeline: req.Pipeline.Name,
		Preset:   req.Preset.Name,
		Verdict:  fault.Ran,
		Took:     now.Sub(start),
		Late:     fail == nil && now.After(req.Deadline),
	}
	if fail != nil {
		rec.Verdict = fail.Verdict
		rec.Code = fail.Code
	}
	if events.hasStarted() {
		rec.FirstToken = events.firstAt.Sub(start)
	}
	f.opts.Observer.Finished(rec)
	f.opts.Log.Info("request finished",
		zap.String("request", req.Label), zap.String("id", req.ID),
		zap.String("team", rec.Team), zap.String("pipeline", rec.Pipeline), zap.String("preset", rec.Preset),
		zap.Int64("revision", req.Revision), zap.String("verdict", string(rec.Verdict)),
		zap.String("code", string(rec.Code)), zap.Duration("took", rec.Took))
}

package front

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// run answers POST /v1/pipelines/{pipeline}.
func (f *Front) run(w http.ResponseWriter, r *http.Request) {
	start := f.o.Now()
	if err := f.o.Admitter.Begin(); err != nil {
		WriteError(w, err)
		return
	}
	defer f.o.Admitter.End()
	req, stream, err := f.parse(w, r, start)
	if err == nil {
		req, err = f.o.Admitter.Admit(req)
	}
	if err != nil {
		f.refuse(w, req, err, start)
		return
	}
	f.serve(w, r, req, stream, start)
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request, req task.Request, stream bool, start time.Time) {
	var sink exec.Sink
	var events *eventStream
	if stream {
		events = newEventStream(w, req, f.o.Now)
		sink = events
	}
	ans, fail := f.o.Runner.Run(r.Context(), req, sink)
	f.finish(req, fail, start, events)
	switch {
	case fail != nil && events.open():
		events.fail(fail)
	case fail != nil:
		writeFailure(w, req.Label, fail)
	case stream:
		events.whole(ans)
	default:
		writeAnswer(w, req, ans)
	}
}

// refuse answers a request that does not start.
func (f *Front) refuse(w http.ResponseWriter, req task.Request, err *fault.Error, start time.Time) {
	fail := &exec.Failure{Error: err}
	if req.HasAction() {
		fail.Action = err.Verdict
	}
	f.finish(req, fail, start, nil)
	writeFailure(w, req.Label, fail)
}

// finish logs and counts the end of a request.
func (f *Front) finish(req task.Request, fail *exec.Failure, start time.Time, events *eventStream) {
	now := f.o.Now()
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
	if events.open() {
		rec.FirstToken = events.firstAt.Sub(start)
	}
	f.o.Observer.Finished(rec)
	f.o.Log.Info("request finished",
		zap.String("request", req.Label), zap.String("id", req.ID),
		zap.String("team", rec.Team), zap.String("pipeline", rec.Pipeline), zap.String("preset", rec.Preset),
		zap.Int64("revision", req.Revision), zap.String("verdict", string(rec.Verdict)),
		zap.String("code", string(rec.Code)), zap.Duration("took", rec.Took))
}

package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/ragworthatch/ragworthatch/internal/entry/index"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
)

const (
	maxBodyBytes    = 1 << 20
	maxLabelBytes   = 128
	bodyTimeout     = 5 * time.Second // to receive the whole body
	bodyFactor      = 4               // memory for each byte of a body: itself, the decoder's buffer, the input, a message to a side
	bearer          = "Bearer "
	eventStreamType = "text/event-stream"
)

// envelope is the body of a request.
type envelope struct {
	RequestID  string          `json:"requestId"`
	DeadlineMs *int64          `json:"deadlineMs"`
	Key        string          `json:"key"`
	Stream     bool            `json:"stream"`
	MaxTokens  uint32          `json:"maxTokens"`
	Input      json.RawMessage `json:"input"`
}

// parse authenticates and validates a request against one configuration revision. The bool reports whether the caller
// wants a stream. It sets body to the body, whose memory the caller releases at the end of the request.
func (f *Front) parse(
	w http.ResponseWriter, r *http.Request, now time.Time, body **intake.Body) (task.Request, bool, *fault.Error) {
	if err := f.opts.Admitter.Ready(); err != nil {
		return task.Request{}, false, err
	}
	ix := f.opts.Index()
	t, err := authenticate(ix, r)
	if err != nil {
		return task.Request{}, false, err
	}
	req, err := authorize(ix, t, pathvar.Vars(r)["pipeline"])
	if err != nil {
		return req, false, err
	}
	*body, err = f.readBody(w, r, req)
	if err != nil {
		return req, false, err
	}
	env, err := decode((*body).Bytes())
	if err != nil {
		return req, false, err
	}
	req, err = complete(req, env, now)
	stream := env.Stream || r.Header.Get("Accept") == eventStreamType
	return req, stream, err
}

// authenticate returns the team that owns the request's bearer token.
func authenticate(ix *index.Index, r *http.Request) (team.Spec, *fault.Error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || token == "" {
		return team.Spec{}, fault.New(fault.NotRun, fault.Unauthorized, "the Authorization header must carry a bearer token")
	}
	t, ok := ix.Team(token)
	if !ok {
		return team.Spec{}, fault.New(fault.NotRun, fault.Unauthorized, "the bearer token belongs to no team")
	}
	return t, nil
}

// authorize returns a request of team t for a pipeline that the team may call and that the preset does not close.
func authorize(ix *index.Index, t team.Spec, name string) (task.Request, *fault.Error) {
	req := task.Request{Team: t, Pools: ix.Set.Pools, Revision: ix.Revision}
	p, ok := ix.Set.Pipelines[name]
	if !ok {
		return req, fault.New(fault.NotRun, fault.NotFound, "there is no pipeline %q", name)
	}
	if len(t.Pipelines) > 0 && !slices.Contains(t.Pipelines, name) {
		return req, fault.New(fault.NotRun, fault.Forbidden, "team %q may not call pipeline %q", t.Name, name)
	}
	preset, ok := ix.Set.Preset()
	if !ok {
		return req, fault.New(fault.NotRun, fault.NotReady, "no preset is in force").WithRetryAfter(time.Second)
	}
	if preset.Pipelines[name].Closed {
		return req, fault.New(fault.NotRun, fault.NotReady, "preset %q closes pipeline %q", preset.Name, name).
			WithRetryAfter(time.Minute)
	}
	req.Pipeline = p
	req.Preset = preset
	req.Stages = ix.Set.StagesOf(name)
	return req, nil
}

// readBody reads the body of a request within bodyTimeout and the size limit of its pipeline.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, req task.Request) (*intake.Body, *fault.Error) {
	limit := int64(maxBodyBytes)
	if req.Pipeline.MaxBodyBytes > 0 {
		limit = min(limit, req.Pipeline.MaxBodyBytes)
	}
	if own := f.opts.Intake.MaxBodyBytes(); own > 0 {
		limit = min(limit, own)
	}
	return f.opts.Intake.ReadBody(w, r, intake.BodyOptions{
		Limit: limit, Owner: req.Team.Name, Until: time.Now().Add(bodyTimeout), Factor: bodyFactor,
	})
}

// decode parses an envelope; unknown fields and trailing data are errors.
func decode(body []byte) (envelope, *fault.Error) {
	var env envelope
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&env); err != nil {
		return env, fault.New(fault.NotRun, fault.BadRequest, "the body is not a request").WithCause(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return env, fault.New(fault.NotRun, fault.BadRequest, "the body goes on after the request")
	}
	if len(env.Input) == 0 {
		return env, fault.New(fault.NotRun, fault.BadRequest, "field \"input\" is missing")
	}
	if len(env.RequestID) > maxLabelBytes {
		return env, fault.New(fault.NotRun, fault.BadRequest, "field \"requestId\" is over %d bytes", maxLabelBytes)
	}
	return env, nil
}

// complete returns req with a new ID and the fields of its envelope, and checks the timeout and the key.
func complete(req task.Request, env envelope, now time.Time) (task.Request, *fault.Error) {
	id, err := uuid.NewV7()
	if err != nil {
		return req, fault.New(fault.NotRun, fault.Internal, "no random numbers").WithCause(err)
	}
	req.ID = id.String()
	req.Label = env.RequestID
	if req.Label == "" {
		req.Label = req.ID
	}
	req.Input = env.Input
	req.MaxTokens = env.MaxTokens
	req.Key = env.Key
	req.Fingerprint = ident.Fingerprint(req.Pipeline.Name, env.Input)
	timeout, invalid := requestTimeout(env, req.Pipeline)
	if invalid != nil {
		return req, invalid
	}
	req.Deadline = now.Add(timeout)
	return req, checkKey(req, now)
}

// requestTimeout returns the timeout that the caller sets, at most the pipeline's; the pipeline's by default.
func requestTimeout(env envelope, p pipe.Spec) (time.Duration, *fault.Error) {
	if env.DeadlineMs == nil {
		return time.Duration(p.DeadlineMs) * time.Millisecond, nil
	}
	ms := *env.DeadlineMs
	if ms < 1 || ms > p.DeadlineMs {
		return 0, fault.New(fault.NotRun, fault.BadRequest,
			"field \"deadlineMs\" is %d; pipeline %q takes 1 to %d", ms, p.Name, p.DeadlineMs)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

package front_test

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/front"
	"github.com/ragworthatch/ragworthatch/internal/entry/index"
	"github.com/ragworthatch/ragworthatch/internal/entry/task"
	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/ops/listen"
)

// fakeBackend implements the dependencies of a Front.
type fakeBackend struct {
	runs     []task.Request
	answer   exec.Answer
	failure  *exec.Failure
	tokens   []string
	draining bool
	records  []front.Record
}

func (d *fakeBackend) Run(_ context.Context, r task.Request, sink exec.Sink) (exec.Answer, *exec.Failure) {
	d.runs = append(d.runs, r)
	for i, t := range d.tokens {
		if sink == nil {
			break
		}
		if err := sink.Token(uint64(i), []byte(t)); err != nil {
			return exec.Answer{}, &exec.Failure{Error: fault.From(err)}
		}
	}
	return d.answer, d.failure
}

func (d *fakeBackend) Admit(r task.Request) (task.Request, *fault.Error) { return r, nil }
func (d *fakeBackend) Ready() *fault.Error                               { return nil }
func (d *fakeBackend) End()                                              {}
func (d *fakeBackend) Finished(r front.Record)                           { d.records = append(d.records, r) }

func (d *fakeBackend) Begin() *fault.Error {
	if d.draining {
		return fault.New(fault.NotRun, fault.Draining, "shutting down")
	}
	return nil
}

func (d *fakeBackend) Outcome(_ context.Context, team, service, key string) (front.Outcome, *fault.Error) {
	if team != "treasury" {
		return front.Outcome{}, fault.New(fault.NotRun, fault.NotFound, "no action with this key")
	}
	return front.Outcome{Key: key, Service: service, State: "done", Verdict: fault.Ran}, nil
}

func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func testConfig() config.Set {
	yes, no := true, false
	set := config.Set{}.
		WithPool(pool.Spec{Name: "runners", Kind: pool.Engine}).
		WithPool(pool.Spec{Name: "ledger", Kind: pool.Service}).
		WithStage(stage.Spec{Name: "write", Kind: stage.Generate, Pool: "runners", Repeatable: &yes}).
		WithStage(stage.Spec{Name: "move", Kind: stage.Service, Pool: "ledger", Repeatable: &no}).
		WithPipeline(pipe.Spec{Name: "summary", Stages: []string{"write"}, DeadlineMs: 11000, MaxBodyBytes: 2000}).
		WithPipeline(pipe.Spec{Name: "closed", Stages: []string{"write"}, DeadlineMs: 11000}).
		WithPipeline(pipe.Spec{Name: "transfer", Stages: []string{"move"}, DeadlineMs: 5000}).
		WithTeam(team.Spec{Name: "treasury", TokenDigest: digest("secret")}).
		WithTeam(team.Spec{Name: "readers", TokenDigest: digest("reader"), Pipelines: []string{"summary"}})
	lines := map[string]preset.PipelineSettings{"summary": {}, "closed": {Closed: true}, "transfer": {}}
	return set.WithPreset(preset.Spec{Name: "ordinary", Pipelines: lines}).WithInForce("ordinary")
}

// startServer serves a Front with the backend d on loopback and returns its base URL.
func startServer(t *testing.T, d *fakeBackend) string {
	ix := index.New(testConfig(), 7)
	f := front.New(front.Options{
		Index: func() *index.Index { return ix }, Runner: d, Admitter: d, Outcomes: d, Observer: d,
		Log: zap.NewNop(), Now: time.Now,
	})
	srv, err := listen.New("127.0.0.1:0", f.Routes())
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = srv.Serve() }()
	t.Cleanup(func() { _ = srv.Close() })
	return "http://" + srv.Addr()
}

// key returns a UUIDv7 that was minted at the given time.
func key(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(id[:6], ms[2:])
	return id.String()
}

// expandPlaceholders replaces the placeholders in a body of testdata/refused.yaml.
func expandPlaceholders(body string) string {
	now := time.Now()
	return strings.NewReplacer(
		"{key}", key(now),
		"{oldKey}", key(now.Add(-25*time.Hour)),
		"{futureKey}", key(now.Add(time.Hour)),
		"{filler}", strings.Repeat("x", 3000),
		"{longId}", strings.Repeat("i", 200),
	).Replace(body)
}

// post sends a body with an optional Authorization header.
func post(t *testing.T, url, authorization, body string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error struct {
		Verdict, Code, Message, ActionVerdict string
		RetryAfter                            float64
	}
}

// TestRefused checks that the requests in testdata/refused.yaml are refused with the right status, code and verdict,
// and are not run.
func TestRefused(t *testing.T) {
	data, err := os.ReadFile("testdata/refused.yaml")
	if err != nil {
		t.Fatal(err)
	}
	var cases []struct {
		Name, Path, Authorization, Body, Code, Verdict, Action string
		Token                                                  *string
		Status                                                 int
	}
	if err := yaml.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	d := &fakeBackend{}
	base := startServer(t, d)
	for _, tc := range cases {
		t.Run(tc.Name, func(t *testing.T) {
			c := qt.New(t)
			auth := "Bearer secret"
			if tc.Token != nil {
				auth = "Bearer " + *tc.Token
			}
			if tc.Authorization != "" {
				auth = tc.Authorization
			}
			resp := post(t, base+tc.Path, auth, expandPlaceholders(tc.Body))
			var got errorResponse
			c.Assert(json.NewDecoder(resp.Body).Decode(&got), qt.IsNil)
			c.Check(resp.StatusCode, qt.Equals, tc.Status)
			c.Check(got.Error.Code, qt.Equals, tc.Code)
			c.Check(got.Error.Verdict, qt.Equals, tc.Verdict)
			c.Check(got.Error.ActionVerdict, qt.Equals, tc.Action)
			c.Check(got.Error.Message, qt.Not(qt.Equals), "")
			c.Check(d.runs, qt.HasLen, 0)
		})
	}
}

func TestCompleteAnswer(t *testing.T) {
	c := qt.New(t)
	d := &fakeBackend{answer: exec.Answer{Chunks: [][]byte{[]byte("one "), []byte("two")}, Streamed: true}}
	resp := post(t, startServer(t, d)+"/v1/pipelines/summary", "Bearer secret", `{"input": {"q": 1}, "requestId": "r1"}`)
	var got struct {
		RequestID, Text, Digest, Preset string
		Whole                           bool
		Count                           int
		Revision                        int64
	}
	c.Assert(json.NewDecoder(resp.Body).Decode(&got), qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Check(got.RequestID, qt.Equals, "r1")
	c.Check(got.Text, qt.Equals, "one two")
	c.Check(got.Digest, qt.Equals, digest("one two"))
	c.Check(got.Whole, qt.IsTrue)
	c.Check(got.Count, qt.Equals, 2)
	c.Check(got.Revision, qt.Equals, int64(7))
	c.Check(got.Preset, qt.Equals, "ordinary")
	c.Check(d.records[0].Code, qt.Equals, fault.Code(""))
}

// TestStreamFails checks that a stream which fails after its first token ends with an error event.
func TestStreamFails(t *testing.T) {
	c := qt.New(t)
	d := &fakeBackend{
		tokens:  []string{"one ", "\xff"},
		failure: &exec.Failure{Error: fault.New(fault.MayHaveRun, fault.Incomplete, "cut")},
	}
	resp := post(t, startServer(t, d)+"/v1/pipelines/summary", "Bearer secret", `{"input": {}, "stream": true}`)
	body := new(strings.Builder)
	_, err := io.Copy(body, resp.Body)
	c.Assert(err, qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
	events := strings.Split(strings.TrimSpace(body.String()), "\n\n")
	c.Assert(events, qt.HasLen, 3)
	c.Check(events[0], qt.Equals, "event: token\ndata: {\"index\":0,\"text\":\"one \"}")
	c.Check(events[1], qt.Equals, "event: token\ndata: {\"index\":1,\"base64\":\"/w==\"}")
	c.Check(events[2], qt.Contains, "event: error")
	c.Check(events[2], qt.Contains, `"verdict":"mayHaveRun"`)
}

// TestStreamRefused checks that a failure before the first token keeps its HTTP status.
func TestStreamRefused(t *testing.T) {
	c := qt.New(t)
	over := fault.New(fault.NotRun, fault.Overloaded, "full").WithRetryAfter(1500 * time.Millisecond)
	d := &fakeBackend{failure: &exec.Failure{Error: over}}
	resp := post(t, startServer(t, d)+"/v1/pipelines/summary", "Bearer secret", `{"input": {}, "stream": true}`)
	var got errorResponse
	c.Assert(json.NewDecoder(resp.Body).Decode(&got), qt.IsNil)
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Header.Get("Retry-After"), qt.Equals, "2")
	c.Check(got.Error.RetryAfter, qt.Equals, 1.5)
}

func TestDrainingRefuses(t *testing.T) {
	c := qt.New(t)
	d := &fakeBackend{draining: true}
	resp := post(t, startServer(t, d)+"/v1/pipelines/summary", "Bearer secret", `{"input": {}}`)
	var got errorResponse
	c.Assert(json.NewDecoder(resp.Body).Decode(&got), qt.IsNil)
	c.Check(got.Error.Code, qt.Equals, "draining")
	c.Check(got.Error.Verdict, qt.Equals, "notRun")
	c.Check(d.runs, qt.HasLen, 0)
}

func TestOutcomeIsVisibleToItsTeamOnly(t *testing.T) {
	base := startServer(t, &fakeBackend{})
	for token, want := range map[string]int{"secret": http.StatusOK, "reader": http.StatusNotFound, "": http.StatusUnauthorized} {
		c := qt.New(t)
		req, err := http.NewRequest(http.MethodGet, base+"/v1/outcomes/"+key(time.Now()), nil)
		c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", "Bearer "+token)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		c.Check(resp.StatusCode, qt.Equals, want)
	}
}

// timedOutBody is a body whose connection exceeded its read deadline.
type timedOutBody struct{}

func (timedOutBody) Read([]byte) (int, error) { return 0, os.ErrDeadlineExceeded }

// TestSlowBody checks that a request whose body is not received in time is refused with 408 and not run.
func TestSlowBody(t *testing.T) {
	c := qt.New(t)
	d := &fakeBackend{}
	f := front.New(front.Options{
		Index: func() *index.Index { return index.New(testConfig(), 7) }, Runner: d, Admitter: d, Outcomes: d, Observer: d,
		Log: zap.NewNop(), Now: time.Now,
	})
	inner, err := rest.NewServer(rest.RestConf{})
	c.Assert(err, qt.IsNil)
	inner.AddRoutes(f.Routes())
	handler, err := rest.NewServerless(inner)
	c.Assert(err, qt.IsNil)
	req := httptest.NewRequest(http.MethodPost, "/v1/pipelines/summary", timedOutBody{})
	req.Header.Set("Authorization", "Bearer secret")
	rec := httptest.NewRecorder()
	handler.Serve(rec, req)
	c.Check(rec.Code, qt.Equals, http.StatusRequestTimeout)
	c.Check(rec.Body.String(), qt.Contains, `"code":"slowBody"`)
	c.Check(d.runs, qt.HasLen, 0)
}

package node_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
	"github.com/ragworthatch/ragworthatch/internal/ops/where"
)

const question = "POST /gen/x HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: q\r\nCredential: key-one\r\nDeadline-Ms: 3000\r\n" +
	"Model: m\r\nToken-Counts: 100,10\r\nPrompt-Prefix: a:50,b:50\r\nPieces: 2,1\r\nPiece-Key: k\r\n\r\nprompt"

// ask asks an entry where a request would go, and checks that this reaches no upstream.
func (w *testbed) ask(e *entry, request string) where.Answer {
	w.c.Helper()
	before := w.requests(e)
	got, err := where.Ask(context.Background(), e.metrics, []byte(request))
	w.c.Assert(err, qt.IsNil)
	w.c.Assert(got, qt.HasLen, 1)
	for id, u := range w.upstreams {
		for _, a := range u.Arrivals() {
			w.c.Check(a.Header.Get("Request-Id"), qt.Not(qt.Equals), "q", qt.Commentf(id))
		}
	}
	w.c.Check(w.requests(e), qt.Equals, before)
	return got[0]
}

// requests returns the lines of the metrics that count requests, sends and calls.
func (w *testbed) requests(e *entry) string {
	got, err := http.Get("http://" + e.metrics + "/metrics")
	w.c.Assert(err, qt.IsNil)
	defer got.Body.Close()
	data, err := io.ReadAll(got.Body)
	w.c.Assert(err, qt.IsNil)
	var out []string
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, "equests_total") || strings.Contains(line, "sends_total") || strings.Contains(line, "stageCalls_total") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "")
}

// The answer must be that of the code that decides, and asking must neither send nor count anything.
func TestWhereSaysWhatWouldBeDecided(t *testing.T) {
	w := startStaged(t, 1, &cloud.Upstream{ID: "engine-1", Events: 1}, &cloud.Upstream{ID: "engine-2", Events: 1})
	w.startUpstream("plain", &cloud.Upstream{ID: "up-1"})
	e := w.entries[0]
	w.eventually(func() bool { return w.do(e, http.MethodGet, "/read/x", "warm", "").status == http.StatusOK })
	time.Sleep(200 * time.Millisecond)

	got := w.ask(e, question)
	w.c.Check(got.Route, qt.Equals, "r-gen")
	w.c.Check(got.Team, qt.Equals, "team-one")
	w.c.Check(got.Refused, qt.Equals, "")
	w.c.Check(got.Decides, qt.IsTrue)
	w.c.Assert(got.Stages, qt.HasLen, 2)
	w.c.Check(got.Stages[0].Pieces, qt.Equals, 2)
	w.c.Check(got.Stages[0].Upstreams, qt.HasLen, 2)
	w.c.Assert(got.Engines, qt.HasLen, 2)
	sum := 0.0
	for _, p := range got.Engines[0].Parts {
		sum += p.Cost
	}
	w.c.Check(sum > got.Engines[0].Cost-0.001 && sum < got.Engines[0].Cost+0.001, qt.IsTrue)
	w.c.Check(w.generate(e, "real").status, qt.Equals, http.StatusOK)
	w.c.Check(w.upstreams[got.Engines[0].ID].RunCount("real"), qt.Equals, 1, qt.Commentf("%s", got.Text(9)))
	w.c.Check(got.Text(1), qt.Matches, `(?s)entry entry-0: .*route r-gen, team "team-one", rank 0.*stage 1: pool second.*and 1 more.*`)

	w.c.Check(w.ask(e, "GET /read/x HTTP/1.1\nHost: svc.example\nCredential: key-one\n").Upstreams, qt.HasLen, 1)
	w.c.Check(w.ask(e, "GET /none HTTP/1.1\nHost: svc.example\n").Status, qt.Equals, http.StatusNotFound)
	w.c.Check(w.ask(e, strings.Replace(question, "key-one", "key-two", 1)).Status, qt.Equals, http.StatusUnauthorized)
	w.listUpstream("first-0", "first", "draining")
	w.listUpstream("first-1", "first", "draining")
	w.eventually(func() bool {
		got = w.ask(e, question)
		return got.Refused == "noUpstreams" && got.RetryAfter > 0
	})
	_, err := where.Ask(context.Background(), e.metrics, []byte("no request"))
	w.c.Check(err, qt.ErrorMatches, ".*can't be read.*")
}

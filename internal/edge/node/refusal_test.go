package node_test

import (
	"fmt"
	"net/http"
	"path"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const longBytes = 300 << 10 // of a body that is too long to be buffered

// failAfterRun returns an Intercept that runs each request whose path ends with a status, and answers with that status.
// For "long" in the path the body is long, and for "refuse" the request does not run.
func failAfterRun(u *cloud.Upstream) func(http.ResponseWriter, *http.Request, int) bool {
	return func(w http.ResponseWriter, r *http.Request, _ int) bool {
		status, err := strconv.Atoi(path.Base(r.URL.Path))
		if err != nil {
			return false
		}
		if strings.Contains(r.URL.Path, "/refuse/") {
			w.Header().Set("Not-Run", "1")
		} else {
			u.CountRun(r.Header.Get("Request-Id"))
		}
		text := "failed"
		if strings.Contains(r.URL.Path, "/long/") {
			text = strings.Repeat(text, longBytes/len(text))
		}
		w.Header().Set("Response-Stamp", "stamp of the failure")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text))
		return true
	}
}

// newFailing returns an upstream with failAfterRun.
func newFailing(id string, events int) *cloud.Upstream {
	u := &cloud.Upstream{ID: id, Events: events}
	u.Intercept = failAfterRun(u)
	return u
}

// An upstream that ran a request may answer with a status that tells callers that it did not run and never will. Callers got
// it unchanged, sent their requests again, and these ran twice (review/12).
func TestStatusesOfRefusalsArePassedOnOnlyIfTheRequestDidNotRun(t *testing.T) {
	upstreams := []*cloud.Upstream{newFailing("up-1", 0), newFailing("up-2", 0), newFailing("engine-1", 1), newFailing("engine-2", 1)}
	w := startStaged(t, 1, upstreams[2:]...)
	w.startUpstream("plain", upstreams[0])
	w.startUpstream("plain", upstreams[1])
	e := w.entries[0]
	w.eventually(func() bool { return w.do(e, http.MethodGet, "/read/warm", "warm", "").status == http.StatusOK })
	for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests,
		http.StatusServiceUnavailable} {
		for target, most := range map[string]int{
			"/act/": 1, "/act/long/": 1, "/read/": 2, "/read/long/": 2, "/once/": 1, "/once/long/": 1, "/gen/": 2,
		} {
			id := fmt.Sprintf("id%s%d", target, status)
			got := w.do(e, http.MethodPost, target+strconv.Itoa(status), id, "prompt", "Model", "m", "Token-Counts", "100,10",
				"Prompt-Prefix", "a:50,b:50", "Pieces", "2,1", "Piece-Key", "piece-key")
			ran := 0
			for _, u := range upstreams {
				ran += u.RunCount(id)
			}
			w.c.Check(got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s %d", target, status))
			w.c.Check(got.header.Get("Response-Stamp"), qt.Equals, "", qt.Commentf("%s %d", target, status))
			w.c.Check(ran >= 1 && ran <= most, qt.IsTrue, qt.Commentf("%s %d ran %d times", target, status, ran))
		}
	}
	for _, target := range []string{"/act/refuse/503", "/read/refuse/429", "/once/refuse/503", "/gen/refuse/421"} {
		got := w.do(e, http.MethodPost, target, "id"+target, "prompt", "Model", "m", "Token-Counts", "100,10",
			"Prompt-Prefix", "a:50,b:50", "Pieces", "2,1", "Piece-Key", "piece-key")
		w.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s: %q", target, got.body))
	}
	for _, target := range []string{"/act/400", "/act/404", "/act/500", "/once/400", "/once/500"} {
		got := w.do(e, http.MethodPost, target, "id"+target, "prompt")
		w.c.Check(strconv.Itoa(got.status), qt.Equals, path.Base(target))
		w.c.Check(got.header.Get("Response-Stamp"), qt.Equals, "stamp of the failure", qt.Commentf("%s", target))
	}
}

// A refusal after a try that may have run is not passed on, and neither is an error that was kept to be passed on if no
// other upstream does better, if its status is that of a refusal.
func TestARefusalSpeaksForAllTries(t *testing.T) {
	for name, statuses := range map[string][]int{
		"lost, then refused":            {0, http.StatusServiceUnavailable},
		"failed as if refused, refused": {-http.StatusServiceUnavailable, http.StatusServiceUnavailable},
		"lost, failed as if refused":    {0, -http.StatusTooManyRequests},
	} {
		tries := make(chan int, len(statuses))
		for _, s := range statuses {
			tries <- s
		}
		act := func(w http.ResponseWriter, r *http.Request, _ int) bool {
			if !strings.HasSuffix(r.URL.Path, "/tries") {
				return false
			}
			switch s := <-tries; {
			case s == 0:
				panic(http.ErrAbortHandler)
			case s > 0:
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(s)
			default:
				w.WriteHeader(-s)
			}
			return true
		}
		w, e := startPlain(t, &cloud.Upstream{ID: "up-1", Intercept: act}, &cloud.Upstream{ID: "up-2", Intercept: act})
		got := w.do(e, http.MethodGet, "/read/tries", "id-1", "")
		w.c.Check(got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("%s", name))
		w.c.Check(tries, qt.HasLen, 0, qt.Commentf("%s", name))
	}
}

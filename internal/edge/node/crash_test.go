package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const (
	toleratedCrashes = 5 // of engines, under requests with one part
	taintedRequests  = 12
)

// fragileEngines is a pool of engines, each of which crashes when it begins to answer a prompt with the part "bad".
type fragileEngines struct {
	*testbed
	mu      sync.Mutex
	crashed []string // IDs, in order
}

// startFragile starts engines and entries, and waits until the entries serve.
func startFragile(t *testing.T, engines, entries int) *fragileEngines {
	p := &fragileEngines{testbed: newTestbed(t)}
	p.configure()
	for i := range engines {
		p.startEngine(fmt.Sprintf("engine-%d", i))
	}
	for i := range entries {
		p.startEntry(fmt.Sprintf("entry-%d", i))
	}
	for i, e := range p.entries {
		p.waitReady(e, http.StatusOK)
		p.eventually(func() bool { return p.prompt(e, fmt.Sprintf("warm-%d", i), "sys").status == http.StatusOK })
	}
	time.Sleep(time.Second) // until all entries follow one leader
	return p
}

func (p *fragileEngines) startEngine(id string) {
	p.startUpstream("engines", &cloud.Upstream{ID: id, Events: 2, Intercept: func(w http.ResponseWriter, r *http.Request,
		_ int) bool {
		if !strings.Contains(r.Header.Get("Prompt-Prefix"), "bad:") {
			return false
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		p.mu.Lock()
		p.crashed = append(p.crashed, id)
		p.mu.Unlock()
		go p.crashUpstream(id)
		panic(http.ErrAbortHandler)
	}})
}

func (p *fragileEngines) crashes() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.crashed...)
}

// prompt sends a request whose prompt has the given parts and a last one of its own.
func (p *fragileEngines) prompt(e *entry, id string, parts ...string) answer {
	prefix := strings.Join(append(parts, "own-"+id), ":50,") + ":50"
	return p.do(e, http.MethodPost, "/once/x", id, "prompt "+id, "Model", "m", "Token-Counts", "200,10",
		"Prompt-Prefix", prefix)
}

// sendTainted sends requests with the bad part, no two alike, to the entries in turn, and sound ones between them that
// share their key and their other parts. It returns the statuses of the tainted ones; stopAfter is called after two.
func (p *fragileEngines) sendTainted(entries []*entry, stopAfter func()) []int {
	var statuses []int
	for i := range taintedRequests {
		if i == 2 {
			stopAfter()
		}
		before := len(p.crashes())
		got := p.prompt(entries[i%len(entries)], fmt.Sprintf("tainted-%d", i), "sys", "doc", "bad")
		statuses = append(statuses, got.status)
		if got.status == http.StatusServiceUnavailable {
			p.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
		}
		if list := p.crashes(); len(list) > before {
			p.store.Put("keyed.servers", list[before], nil)
			p.startEngine(fmt.Sprintf("next-%d", i))
			time.Sleep(400 * time.Millisecond) // until the entries list it
		}
		for j, e := range entries {
			for _, parts := range [][]string{{"sys"}, {"sys", "doc"}, {"sys", "doc", "fine"}} {
				got := p.prompt(e, fmt.Sprintf("sound-%d-%d-%d", i, j, len(parts)), parts...)
				p.c.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("sound request after %d tainted ones", i+1))
			}
		}
	}
	return statuses
}

func TestAPromptPartThatCrashesEnginesIsBlockedAtAllEntries(t *testing.T) {
	p := startFragile(t, 4, 3)
	statuses := p.sendTainted(p.entries, func() {})
	p.c.Check(len(p.crashes()) <= toleratedCrashes, qt.IsTrue, qt.Commentf("%d engines crashed", len(p.crashes())))
	p.c.Check(statuses[taintedRequests-1], qt.Equals, http.StatusServiceUnavailable)
}

func TestAPromptPartThatCrashesEnginesIsBlockedAfterTheLossOfTheLeader(t *testing.T) {
	p := startFragile(t, 4, 3)
	statuses := p.sendTainted(p.entries[1:], func() {
		p.entries[0].kill()
		time.Sleep(time.Second) // until the others follow another leader
	})
	p.c.Check(len(p.crashes()) <= toleratedCrashes, qt.IsTrue, qt.Commentf("%d engines crashed", len(p.crashes())))
	p.c.Check(statuses[taintedRequests-1], qt.Equals, http.StatusServiceUnavailable)
}

func TestAResumableStreamUnderSuspicionIsNotSentAgain(t *testing.T) {
	p := startFragile(t, 5, 1)
	const attempts = "5"
	p.configure(`"priority": 0, "service": "engines", "attempts": 2, "resumable": false`,
		`"priority": 0, "service": "engines", "attempts": `+attempts+`, "resumable": true`)
	time.Sleep(500 * time.Millisecond) // until the configuration is in force
	p.c.Check(p.prompt(p.entries[0], "first", "sys", "bad").status, qt.Equals, http.StatusBadGateway)
	first := len(p.crashes())
	p.c.Check(first <= 2, qt.IsTrue, qt.Commentf("%d engines crashed under one request", first))
	p.c.Check(p.prompt(p.entries[0], "second", "sys", "bad").status, qt.Not(qt.Equals), http.StatusOK)
	p.c.Check(len(p.crashes())-first <= 1, qt.IsTrue, qt.Commentf("%d engines crashed under it", len(p.crashes())-first))
}

func TestRequestsThatCrashUpstreamsInTheirAnswerAreBlocked(t *testing.T) {
	w := newTestbed(t)
	w.configure()
	start := func(id string) {
		w.startUpstream("plain", &cloud.Upstream{ID: id, Intercept: func(rw http.ResponseWriter, r *http.Request, _ int) bool {
			if !strings.HasPrefix(r.URL.Path, "/act/poison") {
				return false
			}
			rw.Header().Set("Content-Length", "100")
			_, _ = rw.Write([]byte("only this"))
			_ = http.NewResponseController(rw).Flush()
			go w.crashUpstream(id)
			panic(http.ErrAbortHandler)
		}})
	}
	start("up-0")
	e := w.startEntry("entry-1")
	w.waitReady(e, http.StatusOK)
	var statuses []int
	for i := range 4 {
		w.eventually(func() bool {
			return w.do(e, http.MethodPost, "/act/fine", fmt.Sprintf("fine-%d", i), "same").status == http.StatusOK
		})
		statuses = append(statuses, w.do(e, http.MethodPost, "/act/poison", fmt.Sprintf("id-%d", i), "same").status)
		w.store.Put("keyed.servers", fmt.Sprintf("up-%d", i), nil)
		start(fmt.Sprintf("up-%d", i+1))
		time.Sleep(400 * time.Millisecond) // until the entry lists it
	}
	w.c.Check(statuses, qt.DeepEquals, []int{502, 502, 503, 503})
}

func TestLostAnswersOfLiveEnginesBlockNoPart(t *testing.T) {
	w := newTestbed(t)
	w.configure()
	for i := range 3 {
		w.startUpstream("engines", &cloud.Upstream{ID: fmt.Sprintf("engine-%d", i), Events: 1,
			Intercept: func(_ http.ResponseWriter, r *http.Request, _ int) bool {
				if strings.Contains(r.Header.Get("Prompt-Prefix"), "unlucky:") {
					panic(http.ErrAbortHandler)
				}
				return false
			}})
	}
	p := &fragileEngines{testbed: w}
	e := w.startEntry("entry-1")
	w.waitReady(e, http.StatusOK)
	w.eventually(func() bool { return p.prompt(e, "warm", "sys").status == http.StatusOK })
	for i := range 8 {
		got := p.prompt(e, fmt.Sprintf("id-%d", i), "sys", "unlucky")
		w.c.Check(got.status, qt.Equals, http.StatusBadGateway, qt.Commentf("all engines are still up"))
		time.Sleep(150 * time.Millisecond) // in which a crash would be judged
	}
}

func TestAStreamThatEndsInsideAnEventLooksIncomplete(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nResponse-Stamp: s\r\nRequest-Id: %s\r\n\r\n%s"
	for name, body := range map[string]string{
		"inside an event": "id: 1\ndata: token 1\n\nid: 2\nda", "before its first event": "",
	} {
		w := newTestbed(t)
		w.configure()
		w.startUpstream("engines", &cloud.Upstream{ID: "engine-1", Events: 1,
			Intercept: func(rw http.ResponseWriter, r *http.Request, _ int) bool {
				id := r.Header.Get("Request-Id")
				if !strings.HasPrefix(id, "broken") {
					return false
				}
				conn, _, err := http.NewResponseController(rw).Hijack()
				if err == nil {
					_, _ = io.WriteString(conn, fmt.Sprintf(unframed, id, body))
					_ = conn.Close()
				}
				return true
			}})
		p := &fragileEngines{testbed: w}
		e := w.startEntry("entry-1")
		w.waitReady(e, http.StatusOK)
		w.eventually(func() bool { return p.prompt(e, "warm", "sys").status == http.StatusOK })
		got := p.prompt(e, "broken", "sys")
		w.c.Check(got.err != nil || got.status == http.StatusBadGateway, qt.IsTrue,
			qt.Commentf("%s: %d %q", name, got.status, got.body))
	}
}

func TestBlockedPromptPartsOutliveARestartOfAllEntries(t *testing.T) {
	p := startFragile(t, 4, 2)
	statuses := p.sendTainted(p.entries, func() {})
	p.c.Assert(statuses[taintedRequests-1], qt.Equals, http.StatusServiceUnavailable)
	time.Sleep(2 * time.Second) // until the block is stored
	before := len(p.crashes())
	for _, e := range p.entries {
		e.kill()
	}
	e := p.startEntry("entry-new")
	p.waitReady(e, http.StatusOK)
	p.eventually(func() bool { return p.prompt(e, "warm-new", "sys").status == http.StatusOK })
	time.Sleep(2500 * time.Millisecond) // until the entry leads and has read the store
	for i := range 3 {
		got := p.prompt(e, fmt.Sprintf("after-%d", i), "sys", "doc", "bad")
		p.c.Check(got.status, qt.Equals, http.StatusServiceUnavailable)
	}
	p.c.Check(len(p.crashes()), qt.Equals, before)
	p.c.Check(p.prompt(e, "sound", "sys", "doc").status, qt.Equals, http.StatusOK)
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// owner says which piece a result belongs to.
type owner struct {
	request string
	stage   int
	piece   int
}

// results are what all stage runners have made.
type results struct {
	mu     sync.Mutex
	owners map[string]owner     // by handle
	until  map[string]time.Time // when the result is gone
	count  int
}

func newResults() *results {
	return &results{owners: map[string]owner{}, until: map[string]time.Time{}}
}

// add makes the handle of a result that lives until handleTime after the end of its call.
func (r *results) add(address string, o owner, until time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count++
	handle := fmt.Sprintf("%s/%08x%04x", address, rand.Uint32(), r.count)
	r.owners[handle], r.until[handle] = o, until
	return handle
}

// owner returns whose result a handle is; held is false if it is gone.
func (r *results) owner(handle string) (o owner, held bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, known := r.owners[handle]
	return o, known && time.Now().Before(r.until[handle])
}

// free drops results. They stay known, so that later uses can be told apart.
func (r *results) free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		r.until[h] = time.Time{}
	}
}

// stageRunner is a runner of a stage service with one slot. It answers one request after the other on each channel.
type stageRunner struct {
	id         string
	address    string
	results    *results
	callTime   time.Duration
	pieceTime  time.Duration
	handleTime time.Duration
	note       func(format string, args ...any)
	// extra says whether the answer that was just written is sent once more, at the point where the next answer on the
	// channel is expected.
	extra func() bool

	slot    chan struct{} // holds a value while a call is worked on
	mu      sync.Mutex
	waiting int
}

func (s *stageRunner) listen() error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.slot = l.Addr().String(), make(chan struct{}, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return nil
}

// serve answers the requests on one channel.
func (s *stageRunner) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	late := "" // an answer that is sent again once the next request has come
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != "" {
			s.note("%s sends an answer a second time, before that to %s", s.id, r.URL.Path)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		answer := s.answer(r, body)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if s.extra() {
			late = answer
		}
	}
}

// answer returns the whole answer to a request.
func (s *stageRunner) answer(r *http.Request, body []byte) string {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		return s.format(r, http.StatusMisdirectedRequest, "Not-Run: 1\r\n", "{}")
	}
	switch r.URL.Path {
	case "/ragworthatch/stage-run":
		return s.runCall(r, body)
	case "/ragworthatch/stage-free":
		var call struct {
			Handles []string `json:"handles"`
		}
		_ = json.Unmarshal(body, &call)
		s.results.free(call.Handles)
		return s.format(r, http.StatusOK, "", "{}")
	case "/ragworthatch/report":
		return s.format(r, http.StatusOK, "", `{"waiting":0,"busy":false,"free_mb":18}`)
	}
	return s.format(r, http.StatusNotFound, "", "{}")
}

// runCall works on the pieces of a call; two calls may wait.
func (s *stageRunner) runCall(r *http.Request, body []byte) string {
	var call struct {
		Items []struct {
			ID    string `json:"id"`
			Stage int    `json:"stage"`
			Piece int    `json:"piece"`
			Key   string `json:"key"`
		} `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return s.format(r, http.StatusBadRequest, "Not-Run: 1\r\n", "{}")
	}
	s.mu.Lock()
	full := s.waiting >= 3
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		return s.format(r, http.StatusServiceUnavailable, "Not-Run: 1\r\n", "{}")
	}
	s.slot <- struct{}{}
	time.Sleep(s.callTime + time.Duration(len(call.Items))*s.pieceTime)
	<-s.slot
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	type result struct {
		Handle string `json:"handle"`
	}
	out := make([]result, len(call.Items))
	requests := map[string]int{}
	for i, it := range call.Items {
		out[i].Handle = s.results.add(s.address, owner{it.ID, it.Stage, it.Piece}, time.Now().Add(s.handleTime))
		requests[it.ID]++
	}
	s.note("%s made %d results for %v", s.id, len(out), requests)
	text, _ := json.Marshal(map[string]any{"items": out})
	return s.format(r, http.StatusOK, "", string(text))
}

// format writes an answer, which echoes the request's ID if it has one.
func (s *stageRunner) format(r *http.Request, status int, extra, body string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nServer-Load: %d,0,1\r\n%s", status, http.StatusText(status),
		len(s.slot), extra)
	if id := r.Header.Get("Request-Id"); id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.String()
}

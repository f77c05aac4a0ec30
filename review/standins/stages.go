package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// result is a result of one piece, as its maker knows it.
type result struct {
	request string
	stage   int
	piece   int
	maker   *runner
	born    int64     // lifetime of its maker
	until   time.Time // zero until it is dropped earlier
}

// results holds all results that stage runners made, and finds inputs that are not those of the request.
type results struct {
	mu       sync.Mutex
	byHandle map[string]*result
	pieces   map[string][]int // pieces of each stage, by request
	begun    map[string]bool  // requests whose second stage has begun
	breaks   []string
}

func newResults() *results {
	return &results{byHandle: map[string]*result{}, pieces: map[string][]int{}, begun: map[string]bool{}}
}

// sent notes the pieces that a client's request has.
func (s *results) sent(request string, pieces []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces[request] = pieces
}

// unread counts the requests with a result of the first stage at a runner that have no piece of the second stage yet.
func (s *results) unread(at *runner) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.byHandle {
		if r.maker == at && r.stage == 0 && !s.begun[r.request] && time.Now().Before(r.until) {
			n++
		}
	}
	return n
}

// exists reports whether a result is still held by its maker.
func (s *results) exists(handle string) bool {
	s.mu.Lock()
	r := s.byHandle[handle]
	s.mu.Unlock()
	if r == nil || time.Now().After(r.until) {
		return false
	}
	r.maker.mu.Lock()
	defer r.maker.mu.Unlock()
	return r.maker.server != nil && r.maker.born == r.born
}

// check records a break of the rule MIXED, unless the inputs are one result of each piece of the stage after which the work
// comes, all of the same request. Results that have existed count, also if they are gone by now.
func (s *results) check(what, request string, stage int, inputs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begun[request] = true
	pieces, known := s.pieces[request]
	if !known {
		s.breaks = append(s.breaks, fmt.Sprintf("%s of %s, which no client sent", what, request))
		return
	}
	have := map[int]bool{}
	for _, handle := range inputs {
		r := s.byHandle[handle]
		if r == nil || r.request != request || r.stage != stage || have[r.piece] {
			s.breaks = append(s.breaks, fmt.Sprintf("%s of %s is given inputs %q; %q is no result of its stage %d, or was given before",
				what, request, inputs, handle, stage))
			return
		}
		have[r.piece] = true
	}
	if len(have) != pieces[stage] {
		s.breaks = append(s.breaks, fmt.Sprintf("%s of %s is given the results of %d of the %d pieces of stage %d", what, request,
			len(have), pieces[stage], stage))
	}
}

// stageService runs pieces: one call at a time, two more may wait. after is the stage whose results its pieces read, -1 for
// none.
func (r *runner) stageService(all *results, call, item, keep time.Duration, after int) http.HandlerFunc {
	turn := make(chan struct{}, 1)
	queue := make(chan struct{}, 3)
	return func(w http.ResponseWriter, q *http.Request) {
		data, _ := io.ReadAll(q.Body)
		if q.URL.Path == "/ragworthatch/stage-free" {
			return
		}
		var body struct {
			Items []struct {
				ID     string   `json:"id"`
				Stage  int      `json:"stage"`
				Piece  int      `json:"piece"`
				Key    string   `json:"key"`
				Inputs []string `json:"inputs"`
			} `json:"items"`
		}
		if err := json.Unmarshal(data, &body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		select {
		case queue <- struct{}{}:
			defer func() { <-queue }()
		default:
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		turn <- struct{}{}
		defer func() { <-turn }()
		for _, it := range body.Items {
			r.rec.printf("%s is asked for stage %d piece %d of %s, inputs %q", r.name(), it.Stage, it.Piece, it.ID, it.Inputs)
			if after >= 0 {
				all.check(fmt.Sprintf("stage %d piece %d", it.Stage, it.Piece), it.ID, after, it.Inputs)
			}
		}
		time.Sleep(call + time.Duration(len(body.Items))*item)
		type answer struct {
			Handle string `json:"handle,omitempty"`
			Reason string `json:"reason,omitempty"`
		}
		out := make([]answer, len(body.Items))
		r.mu.Lock()
		born := r.born
		r.mu.Unlock()
		for i, it := range body.Items {
			if slices.ContainsFunc(it.Inputs, func(h string) bool { return !all.exists(h) }) {
				out[i].Reason = "gone"
				continue
			}
			out[i].Handle = r.address + "/" + randomHex(6)
			all.mu.Lock()
			all.byHandle[out[i].Handle] = &result{it.ID, it.Stage, it.Piece, r, born, time.Now().Add(keep)}
			all.mu.Unlock()
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"items": out})
	}
}

// modelRunner streams events to requests whose inputs it finds. reads is the stage whose results it reads.
func (r *runner) modelRunner(all *results, reads, events int) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		id, text := q.Header.Get("Request-Id"), q.Header.Get("Inputs")
		r.rec.printf("%s gets %s with Inputs %q", r.name(), id, text)
		refuse := func(status int) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(status)
		}
		if _, named := q.Header["Inputs"]; named {
			all.check("the request", id, reads, strings.Split(text, ","))
		}
		if text == "" {
			refuse(http.StatusBadRequest)
			return
		}
		if slices.ContainsFunc(strings.Split(text, ","), func(h string) bool { return !all.exists(h) }) {
			refuse(http.StatusConflict)
			return
		}
		r.rec.printf("%s runs %s", r.name(), id)
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Response-Stamp", randomHex(6))
		w.Header().Set("Weight-Versions", "1")
		first, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
		for i := first + 1; i <= events; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
		}
	}
}

package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// The doses of "garble, how extra late" in the site file: x 0.03, share 0.6, for_s 5. It comes more than once.
	extraPart  = 0.03 // of the answers of one of two runners
	extraTime  = 5 * time.Second
	extraPause = 1 * time.Second

	piecesAsked   = 8 // of each request: one full call
	lateExtraTime = 95 * time.Second
)

// engine is a model runner that reads the results named in Inputs.
type engine struct {
	id      string
	results *results
	note    func(format string, args ...any)

	mu    sync.Mutex
	runs  int
	mixed int
}

// ServeHTTP runs one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.URL.Path == "/ragworthatch/report" {
		_, _ = io.WriteString(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"waiting":0,"running":0,"kv_used":0,"kv_total":346318}`)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var pieces []int
	foreign := map[string]int{}
	for _, handle := range strings.Split(r.Header.Get("Inputs"), ",") {
		o, held := e.results.owner(strings.TrimSpace(handle))
		if !held {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusConflict)
			return
		}
		if o.request != id {
			foreign[o.request]++
			continue
		}
		pieces = append(pieces, o.piece)
	}
	slices.Sort(pieces)
	whole := len(pieces) == piecesAsked && len(slices.Compact(slices.Clone(pieces))) == piecesAsked
	e.mu.Lock()
	e.runs++
	if !whole || len(foreign) > 0 {
		e.mixed++
	}
	e.mu.Unlock()
	switch {
	default:
		e.note("%s runs request %s with its own results", e.id, id)
	case len(foreign) > 0:
		e.note("MIXED: %s runs request %s with results of other requests: %v", e.id, id, foreign)
	case !whole:
		e.note("MIXED: %s runs request %s with pieces %v", e.id, id, pieces)
	}
	w.Header().Set("Response-Stamp", "stamp-"+id)
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(40 * time.Millisecond)
	for i := 1; i <= 5; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// playLateExtra lets one of two stage runners send a few of its answers a second time, at the point where the next answer
// on the channel is expected. A request must be given the results of its own pieces, each once.
func playLateExtra(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	made := newResults()
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	faulty := func() bool {
		mu.Lock()
		defer mu.Unlock()
		disturbed := time.Since(w.start)%(extraTime+extraPause) < extraTime
		return w.trouble && disturbed && random.Float64() < extraPart
	}
	for i, extra := range []func() bool{faulty, func() bool { return false }} {
		s := &stageRunner{
			id: fmt.Sprintf("i-stage-%d", i+1), results: made, callTime: 200 * time.Millisecond, pieceTime: 21 * time.Millisecond,
			handleTime: 4 * time.Second, note: w.note, extra: extra,
		}
		if err := s.listen(); err != nil {
			return false, err
		}
		w.putServer(s.id, server{Service: "facturas", Address: s.address, Zone: "zone-a", Version: "v1", Slots: 1, State: "ready",
			Sequence: 1, Born: time.Now().UnixMilli()})
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	e := &engine{id: "i-engine-1", results: made, note: w.note}
	go func() { _ = http.Serve(l, e) }()
	w.putServer(e.id, server{Service: "pool", Address: l.Addr().String(), Zone: "zone-a", Version: "v1", Slots: 64, State: "ready",
		Sequence: 1, Born: time.Now().UnixMilli()})
	if err := w.putConfig(lateExtraConfig()); err != nil {
		return false, err
	}
	if err := w.startEdges(1); err != nil {
		return false, err
	}
	counts := map[int]int{}
	var wg sync.WaitGroup
	client := &http.Client{Timeout: 9 * time.Second}
	for n := 0; time.Since(w.start) < lateExtraTime; n++ {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xa000000000+n)
			sent := time.Since(w.start)
			status := sendStaged(client, w.edges[0].front, id)
			w.note("request %s, sent at %.3f, was answered with %d", id, sent.Seconds(), status)
			mu.Lock()
			counts[status]++
			mu.Unlock()
		})
		time.Sleep(230 * time.Millisecond)
	}
	wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	w.note("answers by status (0: none): %v; runs at the model runner: %d, of which with wrong inputs: %d", counts, e.runs, e.mixed)
	if counts[http.StatusOK] < 50 {
		return false, fmt.Errorf("only %d requests were served", counts[http.StatusOK])
	}
	return e.mixed > 0, nil
}

// lateExtraConfig is a configuration with one stage, whose figures are those of a service of a small site.
func lateExtraConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "plan", "host": "plans.example", "path_prefix": "/plan/", "kind": "streaming", "service": "pool", "attempts": 1,
			"timeout_ms": 8000, "target_latency_ms": 2000, "target_gap_ms": 400, "priority": 0, "sticky": true,
			"stages": []map[string]any{{"service": "facturas", "after": []int{}, "bytes": 150_000}},
		}},
		"services": []map[string]any{
			{"name": "pool", "connection_limit": 280, "engine": map[string]any{"slots": 64, "kv_capacity": 346318}},
			{"name": "facturas", "connection_limit": 280, "pieces": map[string]any{"slots": 1, "queue": 2, "batch": piecesAsked,
				"call_ms": 200, "item_ms": 21, "headroom_mb": 18, "handle_s": 4, "link_mbps": 10000}},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}}},
	}
}

// sendStaged sends one request and returns the status of a whole answer, or 0.
func sendStaged(client *http.Client, front, id string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+front+"/plan/x", strings.NewReader("{}"))
	if err != nil {
		return 0
	}
	r.Host = "plans.example"
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "8000", "Credential": "key-1", "Model": "m", "Token-Counts": "700,25",
		"Prompt-Prefix": "5c1e07a2:500," + id[:8] + ":200", "Pieces": fmt.Sprint(piecesAsked), "Piece-Key": "k" + id,
	} {
		r.Header.Set(name, value)
	}
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

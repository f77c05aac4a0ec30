package kit

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Stages is the runners of the stage services of a deployment, which fetch inputs from each other.
type Stages struct {
	d         *Deployment
	mu        sync.Mutex
	byAddress map[string]*StageRunner
}

// NewStages returns no runners yet.
func NewStages(d *Deployment) *Stages { return &Stages{d: d, byAddress: map[string]*StageRunner{}} }

// StageRunner runs the pieces of a stage service, one call at a time.
type StageRunner struct {
	ID      string
	Service string
	Zone    string
	Call    time.Duration // of a call
	Item    time.Duration // of each piece

	stages  *Stages
	address string
	slot    chan struct{}
	results map[string]bool // by handle, guarded by stages.mu
	count   int             // of results so far, guarded by stages.mu
}

// Start starts a runner and lists it.
func (s *Stages) Start(r *StageRunner) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.stages, r.slot, r.address, r.results = s, make(chan struct{}, 1), listener.Addr().String(), map[string]bool{}
	s.mu.Lock()
	s.byAddress[r.address] = r
	s.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("/ragworthatch/stage-run", r.run)
	mux.HandleFunc("/ragworthatch/stage-free", r.free)
	mux.HandleFunc("/ragworthatch/report", r.report)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go s.d.keepListed(nil, r.ID, map[string]any{"service": r.Service, "address": r.address, "zone": r.Zone, "version": "v1",
		"slots": 1, "state": "ready", "cold_remaining_ms": 0, "born": time.Now().UnixMilli()})
	return nil
}

// item is one piece of a call.
type item struct {
	Inputs []string `json:"inputs"`
}

func (r *StageRunner) run(w http.ResponseWriter, in *http.Request) {
	var call struct {
		Items []item `json:"items"`
	}
	data, err := io.ReadAll(in.Body)
	if err != nil || json.Unmarshal(data, &call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Request-Id", in.Header.Get("Request-Id"))
	if want := in.Header.Get("Expect-Instance"); want != "" && want != r.ID {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	select {
	case r.slot <- struct{}{}:
	case <-in.Context().Done():
		return
	}
	defer func() { <-r.slot }()
	type result struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	out := make([]result, len(call.Items))
	for i, it := range call.Items {
		if !r.stages.Fetch(it.Inputs) {
			out[i].Reason = "gone"
		}
	}
	time.Sleep(r.Call + time.Duration(len(call.Items))*r.Item)
	s := r.stages
	s.mu.Lock()
	for i := range call.Items {
		if out[i].Reason != "" {
			continue
		}
		r.count++
		out[i].Handle = fmt.Sprintf("%s/%x", r.address, r.count)
		r.results[out[i].Handle] = true
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": out})
}

// Fetch reports whether all inputs of a piece or a request are there.
func (s *Stages) Fetch(handles []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, handle := range handles {
		address, _, _ := strings.Cut(handle, "/")
		if r := s.byAddress[address]; r == nil || !r.results[handle] {
			return false
		}
	}
	return true
}

func (r *StageRunner) free(w http.ResponseWriter, in *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if json.NewDecoder(in.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Request-Id", in.Header.Get("Request-Id"))
	if want := in.Header.Get("Expect-Instance"); want != "" && want != r.ID {
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	r.stages.mu.Lock()
	defer r.stages.mu.Unlock()
	for _, handle := range call.Handles {
		delete(r.results, handle)
	}
}

func (r *StageRunner) report(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{"waiting": 0, "busy": len(r.slot), "free_mb": 10})
}

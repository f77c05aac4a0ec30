package kit

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"
)

// Runner is a plain service's runner as the pages describe it. Its fields are set before Start.
type Runner struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Work    time.Duration
	// Answer, if set, answers a request that has run in place of the runner; it reports whether it did.
	Answer func(w http.ResponseWriter, r *http.Request, stamp string) bool

	server *http.Server
	mu     sync.Mutex
	runs   map[string]int
	stamps int
	ended  chan struct{}
	once   sync.Once
}

// Start starts a runner and keeps its entry in the store's list.
func (d *Deployment) Start(r *Runner) error {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.runs, r.ended = map[string]int{}, make(chan struct{})
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute}
	go func() { _ = r.server.Serve(listener) }()
	d.runners = append(d.runners, r)
	go d.keepListed(r.ended, r.ID, map[string]any{
		"service": r.Service, "address": listener.Addr().String(), "zone": r.Zone, "version": "v1", "slots": r.Slots,
		"state": "ready", "cold_remaining_ms": 0, "born": time.Now().UnixMilli(),
	})
	return nil
}

// keepListed writes the entry of a runner at once and then with each heartbeat, until it has ended.
func (d *Deployment) keepListed(ended <-chan struct{}, id string, entry map[string]any) {
	for sequence := 1; ; sequence++ {
		entry["sequence"] = sequence
		data, err := json.Marshal(entry)
		if err != nil {
			panic(err) // strings and numbers always encode
		}
		d.Store.Put("keyed.servers", id, data)
		select {
		case <-time.After(heartbeat):
		case <-ended:
			return
		case <-d.stopping:
			return
		}
	}
}

// Kill ends the runner with all its channels.
func (r *Runner) Kill() {
	r.once.Do(func() {
		close(r.ended)
		_ = r.server.Close()
	})
}

// Runs returns how often each request ran here, by Request-Id.
func (r *Runner) Runs() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.runs)
}

// ServeHTTP runs a request, unless it is meant for another runner or names no ID.
func (r *Runner) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	if _, err := io.ReadAll(in.Body); err != nil {
		return
	}
	id := in.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=5")
	switch want := in.Header.Get("Expect-Instance"); {
	case in.URL.Path == "/health":
		w.Header().Set("Instance-Id", r.ID)
		return
	case want != "" && want != r.ID:
		refuse(w, http.StatusMisdirectedRequest)
		return
	case id == "":
		refuse(w, http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.stamps++
	stamp := fmt.Sprintf("%s.%d", r.ID, r.stamps)
	r.mu.Unlock()
	select {
	case <-time.After(r.Work):
	case <-in.Context().Done():
		return
	}
	if r.Answer != nil && r.Answer(w, in, stamp) {
		return
	}
	w.Header().Set("Response-Stamp", stamp)
	_, _ = fmt.Fprintf(w, "done %s by %s", id, r.ID)
}

// refuse answers a request that does not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(status)
}

// Sleep waits, and reports whether ctx is still in force.
func Sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

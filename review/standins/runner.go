package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which a runner writes its entry (heartbeat_ms of the settings).
const heartbeat = 1200 * time.Millisecond

// arrival is a request that reached a runner.
type arrival struct {
	id       string
	at       time.Time
	rejected bool // answered with Not-Run
}

// runner is a stand-in for a runner of any kind; serve answers what is not common to all.
type runner struct {
	service, address, zone string
	slots                  int
	engine                 bool // its entry names a stage and models
	serve                  http.HandlerFunc
	store                  *store
	rec                    *recorder

	mu       sync.Mutex
	id       string // of this lifetime
	born     int64
	sequence int
	state    string
	server   *http.Server
	stop     chan struct{} // ends the heartbeats
	arrivals []arrival
}

// randomHex returns n random bytes in hexadecimal.
func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// start begins a lifetime: it listens, registers itself and goes on to write its entry.
func (r *runner) start() error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.born, r.sequence, r.state = time.Now().UnixMilli(), 0, "ready"
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 10 * time.Second}
	r.stop = make(chan struct{})
	server, stop := r.server, r.stop
	r.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	r.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.register()
			case <-stop:
				return
			}
		}
	}()
	return nil
}

// name returns the ID of the present lifetime.
func (r *runner) name() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.id
}

// startAnew begins a lifetime with a new ID, after the end of the one before; the old entry is removed.
func (r *runner) startAnew() error {
	r.mu.Lock()
	before := r.id
	r.id = "i-" + randomHex(5)
	r.mu.Unlock()
	r.store.put("keyed.servers", before, nil)
	return r.start()
}

// register writes the entry of the runner and returns the time of the store's acknowledgement.
func (r *runner) register() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	entry := map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born}
	if r.engine {
		entry["stage"] = "both"
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	value, _ := json.Marshal(entry)
	return r.store.put("keyed.servers", r.id, value)
}

// drain reports that the runner leaves; it serves on until leave.
func (r *runner) drain() (acknowledged time.Time) {
	r.mu.Lock()
	r.state = "draining"
	r.mu.Unlock()
	return r.register()
}

// leave ends the runner after its drain, and removes its entry.
func (r *runner) leave() {
	r.end()
	r.store.put("keyed.servers", r.name(), nil)
}

// end ends the lifetime at once, as a crash does; the entry stays. It reports false if the lifetime has ended already.
func (r *runner) end() bool {
	r.mu.Lock()
	server, stop := r.server, r.stop
	r.server, r.stop = nil, nil
	r.mu.Unlock()
	if server == nil {
		return false
	}
	close(stop)
	_ = server.Close()
	return true
}

// seen returns the requests that reached the runner.
func (r *runner) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// ServeHTTP does what all runners do, and passes the rest on to serve.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	now := time.Now()
	id, name := q.Header.Get("Request-Id"), r.name()
	if id != "" {
		w.Header().Set("Request-Id", id)
	}
	switch q.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", name)
		return
	case "/ragworthatch/report":
		_, _ = fmt.Fprint(w, `{"waiting":0,"busy":false,"free_mb":18}`)
		return
	}
	wrong := q.Header.Get("Expect-Instance") != "" && q.Header.Get("Expect-Instance") != name
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, now, wrong})
	r.mu.Unlock()
	if wrong {
		w.Header().Set("Not-Run", "1")
		w.Header().Set("Instance-Id", name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.serve(w, q)
}

// plainService answers each request whole after its work.
func (r *runner) plainService(work time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		r.rec.printf("%s runs %s", r.name(), q.Header.Get("Request-Id"))
		time.Sleep(work)
		body := fmt.Sprintf("answer to %s", q.Header.Get("Request-Id"))
		w.Header().Set("Response-Stamp", randomHex(6))
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = io.WriteString(w, body)
	}
}

// caller sends requests to one entry over connections that it keeps.
type caller struct {
	client *http.Client
	rec    *recorder
}

func newCaller(rec *recorder) *caller {
	return &caller{rec: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8,
		DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// sent is the outcome of one request of a caller.
type sent struct {
	id     string
	entry  string
	at     time.Time
	status int  // 0 if the connection ended without a whole answer
	begun  bool // the head of an answer came
	stamp  string
	body   string
}

var requestCount atomic.Int64

// newRequestID returns an ID that no other request has.
func newRequestID() string { return fmt.Sprintf("%08x%s", requestCount.Add(1), randomHex(4)) }

// do sends a request and reads the whole answer.
func (c *caller) do(e *entry, q *http.Request, deadline time.Duration) sent {
	id := q.Header.Get("Request-Id")
	q.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	s := sent{id: id, entry: e.name, at: time.Now()}
	c.rec.printf("%s is sent to %s", id, e.name)
	answer, err := c.client.Do(q)
	if err != nil {
		c.rec.printf("%s gets no answer: %v", id, err)
		return s
	}
	s.begun, s.stamp = true, answer.Header.Get("Response-Stamp")
	body, err := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err != nil {
		c.rec.printf("%s gets %d, not whole: %v", id, answer.StatusCode, err)
		return s
	}
	s.status, s.body = answer.StatusCode, string(body)
	c.rec.printf("%s gets %d", id, s.status)
	return s
}

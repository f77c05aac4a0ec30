package cloud

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request as it reached an upstream.
type Arrival struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   string
	At     time.Time
}

// Upstream is a stand-in for an upstream of any kind; its fields must be set before it serves.
type Upstream struct {
	ID string
	// Version is that of its software; empty stands for v1.
	Version string
	Work    time.Duration // that each call takes
	Events  int           // number of events of a stream; 0 makes it a plain service
	Gap     time.Duration // between two events
	// Intercept, if set, may answer the n-th request in place of the upstream; it reports whether it did.
	Intercept func(w http.ResponseWriter, r *http.Request, n int) bool

	mu       sync.Mutex
	arrivals []Arrival
	runs     map[string]int // by request ID
	handles  atomic.Int64
}

// Arrivals returns the requests that reached the upstream, in order.
func (u *Upstream) Arrivals() []Arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Arrival(nil), u.arrivals...)
}

// RunCount returns how often a request ran here, by its ID.
func (u *Upstream) RunCount(id string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[id]
}

// RunCounts returns how often each request ran here, by request ID.
func (u *Upstream) RunCounts() map[string]int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return maps.Clone(u.runs)
}

// ServeHTTP handles one request; one that expects another instance is answered without running.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Instance-Id", u.ID)
	u.mu.Lock()
	u.arrivals = append(u.arrivals, Arrival{r.Method, r.RequestURI, r.Host, r.Header.Clone(), string(body), time.Now()})
	n := len(u.arrivals)
	u.mu.Unlock()
	if want := r.Header.Get("Expect-Instance"); want != "" && want != u.ID {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.Intercept != nil && u.Intercept(w, r, n) {
		return
	}
	switch r.URL.Path {
	case "/ragworthatch/stage-run":
		u.serveStage(w, body)
		return
	case "/ragworthatch/stage-free", "/ragworthatch/report":
		_, _ = io.WriteString(w, `{"free_mb":100}`)
		return
	}
	u.CountRun(r.Header.Get("Request-Id"))
	time.Sleep(u.Work)
	w.Header().Set("Response-Stamp", "stamp-"+u.ID)
	if u.Events > 0 {
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := first + 1; i <= u.Events && r.Context().Err() == nil; i++ {
			WriteEvents(w, i, i)
			time.Sleep(u.Gap)
		}
		return
	}
	_, _ = fmt.Fprintf(w, "answer of %s to %s", u.ID, r.Header.Get("Request-Id"))
}

// CountRun counts one run of a request, by its ID.
func (u *Upstream) CountRun(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.runs == nil {
		u.runs = map[string]int{}
	}
	u.runs[id]++
}

// WriteEvents writes the events with the IDs from first to last.
func WriteEvents(w http.ResponseWriter, first, last int) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

func (u *Upstream) serveStage(w http.ResponseWriter, body []byte) {
	var call struct {
		Items []json.RawMessage `json:"items"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(u.Work)
	type result struct {
		Handle string `json:"handle"`
	}
	results := make([]result, len(call.Items))
	for i := range results {
		results[i].Handle = fmt.Sprintf("%s/%d", u.ID, u.handles.Add(1))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"items": results})
}

package record

import (
	"strings"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

// Entry is the record of one call that reached a stand-in.
type Entry struct {
	ID       string // of the attempt: request/stage/number
	Key      string
	Kind     string
	Marker   string
	Mixed    bool // the body had markers of several requests
	Body     []byte
	At       time.Time
	Ran      bool // the call left the stand-in's queue
	Effect   bool // the work was done
	Finished bool // the last event was sent
	Answer   []byte
}

// Request returns the request ID, which is the first part of the attempt's ID.
func (e Entry) Request() string {
	request, _, _ := strings.Cut(e.ID, "/")
	return request
}

// Recorder holds the entries of a stand-in; its methods are safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	entries []*Entry
}

// Add adds an entry for a call and returns a function that updates it under the lock.
func (r *Recorder) Add(c upstream.Call, marker string, mixed bool) func(func(*Entry)) {
	e := &Entry{ID: c.ID, Key: c.Key, Kind: c.Kind, Marker: marker, Mixed: mixed, Body: c.Body, At: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
	return func(change func(*Entry)) {
		r.mu.Lock()
		defer r.mu.Unlock()
		change(e)
	}
}

// Entries returns copies of all entries, in order of arrival.
func (r *Recorder) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		out = append(out, *e)
	}
	return out
}

// Effects returns how often the work for an action key was done.
func (r *Recorder) Effects(key string) int {
	n := 0
	for _, e := range r.Entries() {
		if e.Key == key && e.Effect {
			n++
		}
	}
	return n
}

package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// crashingPath is the path of the request that crashes each runner that begins to run it.
const crashingPath = "/transfer/1066"

// playQuarantine has a client send the same request again and again, which crashes each runner that begins to run it. The
// entries refuse it after two crashes, but only for 30 s.
//
// BUDGET: later than contact_ms after its third crash, the request reaches runners in three retries at most. Each attempt of
// its client goes to one runner, as the route is unsafe.
func playQuarantine(d *deployment, trouble bool) (int, error) {
	var mu sync.Mutex
	var crashes []time.Time
	arrivals := map[string]time.Time{} // first arrival of each client attempt with the path
	zones := remanentes.zones
	for i := range 3 {
		r, err := d.addRunner("tesoreria", zones[i], 6, false)
		if err != nil {
			return 0, err
		}
		plain := r.plainService(30 * time.Millisecond)
		r.serve = func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Path != crashingPath {
				plain(w, q)
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			now := time.Now()
			mu.Lock()
			if id := q.Header.Get("Request-Id"); arrivals[id].IsZero() {
				arrivals[id] = now
			}
			mu.Unlock()
			d.rec.printf("%s begins to run the request that crashes runners", r.name())
			if !trouble {
				plain(w, q)
				return
			}
			defer panic(http.ErrAbortHandler) // no answer, also if another request ends the lifetime at this moment
			if !r.end() {
				return
			}
			mu.Lock()
			crashes = append(crashes, now)
			mu.Unlock()
			go func() { // it is back after some seconds, with a new ID
				time.Sleep(4 * time.Second)
				if err := r.startAnew(); err != nil {
					d.rec.say("%s can't start: %v", r.name(), err)
				}
			}()
		}
	}
	key := randomHex(10)
	d.configure(map[string]any{
		"version": 3, "tenants": []any{map[string]any{"name": "burgos", "api_keys": []string{key}, "priority": 1}},
		"routes": []any{map[string]any{"name": "transferencia-benefica", "host": "tesoreria.example", "path_prefix": "/transfer/",
			"kind": "unsafe", "timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "service": "tesoreria", "attempts": 1,
			"stages": []any{}, "public": false, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": "tesoreria", "health_path": "/health", "connection_limit": 110}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
			"idle_timeout_ms": 15000},
	})
	if err := d.startEntries(3, remanentes); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)

	const playFor = 98 * time.Second
	end := time.Now().Add(playFor)
	statuses := map[string]int{}
	send := func(c *caller, e *entry, path string) {
		id := newRequestID()
		q, _ := http.NewRequest(http.MethodPost, "http://"+e.front()+path, strings.NewReader(`{"euros":20}`))
		q.Host = "tesoreria.example"
		q.Header.Set("Request-Id", id)
		q.Header.Set("Credential", key)
		s := c.do(e, q, 1500*time.Millisecond)
		mu.Lock()
		statuses[path+" "+strconv.Itoa(s.status)]++
		mu.Unlock()
	}
	var clients sync.WaitGroup
	for _, e := range d.entries { // sound clients: transfers
		clients.Go(func() {
			for c := newCaller(d.rec); time.Now().Before(end); time.Sleep(150 * time.Millisecond) {
				send(c, e, "/transfer/1")
			}
		})
	}
	for _, e := range d.entries { // the request that comes again, at any entry
		clients.Go(func() {
			for c := newCaller(d.rec); time.Now().Before(end); time.Sleep(250 * time.Millisecond) {
				send(c, e, crashingPath)
			}
		})
	}
	clients.Wait()

	mu.Lock()
	defer mu.Unlock()
	var names []string
	for name, n := range statuses {
		names = append(names, fmt.Sprintf("%s: %d", name, n))
	}
	slices.Sort(names)
	d.rec.say("answers by path and status: %s", strings.Join(names, ", "))
	for i, at := range crashes {
		d.rec.say("crash %d at %.2f s", i+1, d.rec.at(at))
	}
	if statuses["/transfer/1 200"] < 500 {
		return 0, fmt.Errorf("only %d transfers were served", statuses["/transfer/1 200"])
	}
	if len(crashes) < 3 {
		return 0, nil
	}
	bound := crashes[2].Add(time.Duration(remanentes.contactMs) * time.Millisecond)
	late := 0
	for _, at := range arrivals {
		if at.After(bound) {
			late++
		}
	}
	d.rec.say("%d client attempts reach runners later than contact_ms after the third crash; three may", late)
	return max(0, late-3), nil
}

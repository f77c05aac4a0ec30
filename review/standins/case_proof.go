package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playProof has one of three runners spoil 5 in 100 of its answers for 5.5 s: it sends a success that is not the answer of the
// protocol, as it has no proof and none of the body.
//
// MIXED: no client gets a success without the runner's Response-Stamp.
func playProof(d *deployment, trouble bool) (int, error) {
	const (
		spoilt  = 0.05
		begins  = 4 * time.Second
		lasts   = 5500 * time.Millisecond
		playFor = 14 * time.Second
	)
	var begun time.Time
	var mu sync.Mutex
	spoils := 0
	zones := remanentes.zones
	for i := range 3 {
		r, err := d.addRunner("tesoreria", zones[i], 6, false)
		if err != nil {
			return 0, err
		}
		sound := r.plainService(30 * time.Millisecond)
		r.serve = func(w http.ResponseWriter, q *http.Request) {
			mu.Lock()
			at := time.Since(begun)
			spoil := trouble && i == 0 && at > begins && at < begins+lasts && rand.Float64() < spoilt
			if spoil {
				spoils++
			}
			mu.Unlock()
			if !spoil {
				sound(w, q)
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			time.Sleep(30 * time.Millisecond)
			d.rec.printf("%s answers %s with 200, without a proof and a body", r.name(), q.Header.Get("Request-Id"))
			w.Header().Set("Content-Length", "0")
			w.WriteHeader(http.StatusOK)
		}
	}
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "tesoreria.example", "path_prefix": prefix, "kind": kind,
			"timeout_ms": 800, "target_latency_ms": 150, "priority": 2, "service": "tesoreria", "attempts": attempts,
			"stages": []any{}, "public": true, "sticky": false, "resumable": false}
	}
	d.configure(map[string]any{
		"version": 3, "tenants": []any{},
		"routes": []any{route("transferencia-benefica", "/transfer/", "unsafe", 1),
			route("consulta-saldo", "/balance/", "safe", 2)},
		"services": []any{map[string]any{"name": "tesoreria", "health_path": "/health", "connection_limit": 110}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
			"idle_timeout_ms": 15000},
	})
	mu.Lock()
	begun = time.Now()
	mu.Unlock()
	if err := d.startEntries(3, remanentes); err != nil {
		return 0, err
	}
	breaks := 0
	statuses := map[string]int{}
	var clients sync.WaitGroup
	for _, e := range d.entries {
		for n := range 4 {
			clients.Go(func() {
				for c := newCaller(d.rec); time.Since(begun) < playFor; time.Sleep(100 * time.Millisecond) {
					method, path := http.MethodPost, "/transfer/"
					if n == 0 {
						method, path = http.MethodGet, "/balance/"
					}
					id := newRequestID()
					q, _ := http.NewRequest(method, "http://"+e.front()+path+id, nil)
					if method == http.MethodPost {
						q, _ = http.NewRequest(method, "http://"+e.front()+path+id, strings.NewReader(`{"euros":20}`))
					}
					q.Host = "tesoreria.example"
					q.Header.Set("Request-Id", id)
					s := c.do(e, q, 1500*time.Millisecond)
					mu.Lock()
					statuses[path+" "+strconv.Itoa(s.status)]++
					if s.status == http.StatusOK && s.stamp == "" {
						breaks++
						d.rec.say("%s %s gets 200 from %s without a Response-Stamp, with the body %q", method, path, e.name, s.body)
					}
					mu.Unlock()
				}
			})
		}
	}
	clients.Wait()
	d.rec.say("%d answers were spoilt; answers by path and status: %v", spoils, statuses)
	return breaks, nil
}

package main

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playList restarts the leading entry while a runner drains. It has the runners of the sheet of remanentes-norte-grown. The other entries have not read the list of runners from the
// store since they started, as the leader told them; by now its log has grown by more than one read returns.
//
// DRAIN: no request reaches the runner later than drain_ms after the store has acknowledged that it drains. Counted are
// those that the two entries which are not stopped have taken from clients.
func playList(d *deployment, trouble bool) (int, error) {
	zones := grown.zones
	counts := []struct {
		service string
		runners int
		slots   int
		engine  bool
	}{{"modelos-ragwort", 46, 64, true}, {"recogida", 20, 1, false}, {"clasificacion", 15, 1, false}, {"auditoria", 15, 1, false},
		{"tesoreria", 3, 6, false}}
	var treasury []*runner
	for _, c := range counts {
		for i := range c.runners {
			r, err := d.addRunner(c.service, zones[i%3], c.slots, c.engine)
			if err != nil {
				return 0, err
			}
			if c.service == "tesoreria" {
				treasury = append(treasury, r)
			}
		}
	}
	d.configure(map[string]any{
		"version": 3, "tenants": []any{},
		"routes": []any{map[string]any{"name": "transferencia-benefica", "host": "tesoreria.example", "path_prefix": "/transfer/",
			"kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 150, "priority": 2, "service": "tesoreria", "attempts": 1,
			"stages": []any{}, "public": true, "sticky": false, "resumable": false}},
		"services": []any{map[string]any{"name": "tesoreria", "health_path": "/health", "connection_limit": 210}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
			"idle_timeout_ms": 15000},
	})
	if err := d.startEntries(3, grown); err != nil {
		return 0, err
	}
	leader, others := d.entries[0], d.entries[1:]

	const (
		drainAt = 70 * time.Second
		stopAt  = 75 * time.Second
		leaveAt = 83 * time.Second
		endAt   = 86 * time.Second
	)
	begun := time.Now()
	var mu sync.Mutex
	entryOf := map[string]string{} // by the ID of a request
	statuses := map[int]int{}
	var clients sync.WaitGroup
	for _, e := range others {
		for range 4 { // clients at each entry, of 5 requests a second each
			clients.Go(func() {
				c := newCaller(d.rec)
				for time.Since(begun) < endAt {
					id := newRequestID()
					q, _ := http.NewRequest(http.MethodPost, "http://"+e.front()+"/transfer/1", strings.NewReader(`{"euros":20}`))
					q.Host = "tesoreria.example"
					q.Header.Set("Request-Id", id)
					mu.Lock()
					entryOf[id] = e.name
					mu.Unlock()
					s := c.do(e, q, 1500*time.Millisecond)
					mu.Lock()
					statuses[s.status]++
					mu.Unlock()
					time.Sleep(170 * time.Millisecond)
				}
			})
		}
	}
	until := func(at time.Duration) { time.Sleep(time.Until(begun.Add(at))) }
	until(drainAt)
	leaving := treasury[0]
	acknowledged := leaving.drain()
	d.rec.say("%s reports that it drains; the log of the list has %d bytes", leaving.name(), d.store.bytesOf("keyed.servers"))
	until(stopAt)
	if trouble {
		d.rec.say("SIGTERM to %s, which leads", leader.name)
		leader.signal(syscall.SIGTERM)
		go func() {
			leader.awaitEnd(time.Duration(grown.graceS) * time.Second)
			d.rec.say("%s has ended and starts again", leader.name)
			_ = leader.start()
		}()
	}
	until(leaveAt)
	leaving.leave()
	d.rec.say("%s ends", leaving.name())
	clients.Wait()

	breaks := 0
	bound := acknowledged.Add(time.Duration(grown.drainMs) * time.Millisecond)
	for _, a := range leaving.seen() {
		if !a.rejected && a.at.After(bound) {
			breaks++
			d.rec.say("%s, sent to %s, reaches %s %.2f s after the acknowledgement", a.id, entryOf[a.id], leaving.name(),
				a.at.Sub(acknowledged).Seconds())
		}
	}
	var summary []string
	for status, n := range statuses {
		summary = append(summary, fmt.Sprintf("%d: %d", status, n))
	}
	sort.Strings(summary)
	d.rec.say("answers by status: %s", strings.Join(summary, ", "))
	if statuses[http.StatusOK] < 500 {
		return 0, fmt.Errorf("only %d requests were served", statuses[http.StatusOK])
	}
	return breaks, nil
}

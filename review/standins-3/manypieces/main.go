// Command manypieces has a client that nobody controls send one request a second whose Pieces line names more pieces than all runners
// could make in its time. It compares how many requests of ordinary clients are served with and without it.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragworthatch/ragworthatch/review/standins-3/kit"
)

const (
	calm        = 15 * time.Second
	odd         = 40 * time.Second
	ordinaryGap = 125 * time.Millisecond
	oddGap      = time.Second
	deadline    = 6 * time.Second
	perStage    = 5 // runners
)

func main() { kit.Main(run) }

func run(record *kit.Record, trouble bool) error {
	d, err := kit.New()
	if err != nil {
		return err
	}
	defer d.Close()
	if err := configure(d); err != nil {
		return err
	}
	stages := kit.NewStages(d)
	zones := []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"}
	for i := range perStage {
		for _, s := range []struct {
			name   string
			itemMS int
		}{{"facturas", 6}, {"rutas", 12}, {"portal", 4}} {
			r := &kit.StageRunner{ID: fmt.Sprintf("i-%s-%d", s.name, i), Service: s.name, Zone: zones[i%3],
				Call: 200 * time.Millisecond, Item: time.Duration(s.itemMS) * time.Millisecond}
			if err := stages.Start(r); err != nil {
				return err
			}
		}
	}
	for i := range 3 {
		engine := &kit.Runner{ID: fmt.Sprintf("i-engine-%d", i), Service: "pool", Zone: zones[i], Slots: 64, Work: 20 * time.Millisecond,
			Answer: func(w http.ResponseWriter, r *http.Request, stamp string) bool { return answer(stages, w, r, stamp) }}
		if err := d.Start(engine); err != nil {
			return err
		}
	}
	if err := d.StartFronts(3); err != nil {
		return err
	}
	p := &play{d: d, record: record}
	before := p.ordinary("a", calm)
	var sender sync.WaitGroup
	if trouble {
		sender.Go(func() { p.sendOdd(odd) })
	}
	during := p.ordinary("b", odd)
	sender.Wait()
	record.Linef("ordinary requests: %d of %d served before, %d of %d then; %d odd requests", before.served, before.sent, during.served,
		during.sent, p.odd.Load())
	switch {
	case before.served < before.sent/2:
		return fmt.Errorf("only %d of %d requests were served in calm", before.served, before.sent)
	case during.served < during.sent/4:
		return fmt.Errorf("%w: ordinary callers got %d answers for %d requests while one client sent %d requests of legal size",
			kit.ErrBroken, during.served, during.sent, p.odd.Load())
	}
	return nil
}

func configure(d *kit.Deployment) error {
	stage := func(batch, itemMS int, headroom float64) map[string]any {
		return map[string]any{"slots": 1, "queue": 2, "batch": batch, "call_ms": 200.0, "item_ms": float64(itemMS),
			"headroom_mb": headroom, "handle_s": 4.0, "link_mbps": 10000}
	}
	return d.Configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "label-check", "host": "shop.example", "path_prefix": "/labels/", "kind": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 1900, "target_gap_ms": 400, "priority": 0, "service": "pool", "attempts": 2, "public": false,
			"sticky": true, "resumable": true, "stages": []any{
				map[string]any{"service": "facturas", "after": []int{}, "bytes": 8000},
				map[string]any{"service": "rutas", "after": []int{0}, "bytes": 60000},
				map[string]any{"service": "portal", "after": []int{1}, "bytes": 6000},
			},
		}},
		"services": []any{
			map[string]any{"name": "pool", "health_path": "/health", "connection_limit": 280,
				"engine": map[string]any{"slots": 64, "kv_capacity": 346318}},
			map[string]any{"name": "facturas", "health_path": "/health", "connection_limit": 280, "pieces": stage(8, 6, 18)},
			map[string]any{"name": "rutas", "health_path": "/health", "connection_limit": 280, "pieces": stage(14, 12, 2)},
			map[string]any{"name": "portal", "health_path": "/health", "connection_limit": 280, "pieces": stage(38, 4, 0.49)},
		},
		"tenants": []any{map[string]any{"name": "shops", "api_keys": []string{"key-of-shops"}},
			map[string]any{"name": "others", "api_keys": []string{"key-of-others"}}},
	})
}

// answer answers as an engine that reads its inputs first.
func answer(stages *kit.Stages, w http.ResponseWriter, r *http.Request, stamp string) bool {
	id, inputs := r.Header.Get("Request-Id"), r.Header.Get("Inputs")
	if inputs == "" || !stages.Fetch(strings.Split(inputs, ",")) {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusConflict)
		return true
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Response-Stamp", stamp)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= 3; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

// play is the traffic.
type play struct {
	d      *kit.Deployment
	record *kit.Record
	odd    atomic.Int64
}

// tally counts requests.
type tally struct{ sent, served int64 }

// ordinary sends requests of ordinary clients, each of which comes once.
func (p *play) ordinary(prefix string, duration time.Duration) tally {
	var sent, served atomic.Int64
	var clients sync.WaitGroup
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		sent.Add(1)
		clients.Go(func() {
			a := p.send(fmt.Sprintf("%s%015x", prefix, n), n, "key-of-shops", "1,4,10")
			if a.Status == http.StatusOK && a.Whole {
				served.Add(1)
			}
		})
		time.Sleep(ordinaryGap)
	}
	clients.Wait()
	return tally{sent.Load(), served.Load()}
}

// sendOdd sends requests with many pieces.
func (p *play) sendOdd(duration time.Duration) {
	var clients sync.WaitGroup
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		p.odd.Add(1)
		clients.Go(func() { p.send(fmt.Sprintf("c%015x", n), n, "key-of-others", "4000,4000,2000") })
		time.Sleep(oddGap)
	}
	clients.Wait()
}

func (p *play) send(id string, n int, key, pieces string) kit.Answer {
	a := kit.Do(p.d.Fronts[n%len(p.d.Fronts)].Address, kit.Request{Method: http.MethodPost, Path: "/labels/check", ID: id, Key: key,
		Deadline: deadline, Body: "label", Header: []string{"Model: m", "Token-Counts: 900,15",
			fmt.Sprintf("Prompt-Prefix: 5c1e:300,91bd%02x:200,%s:400", n%40, id), "Pieces: " + pieces, "Piece-Key: " + id[4:]}})
	p.record.Linef("request %s with pieces %s: status %d, whole %t, took %v, error %v", id, pieces, a.Status, a.Whole, a.Took, a.Err)
	return a
}

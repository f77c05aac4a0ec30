// Command unstamped has one of three runners of a service spoil some answers: the line with the proof is lost. It counts
// the successes that clients get without it.
package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"time"

	"github.com/ragworthatch/ragworthatch/review/standins-3/kit"
)

const (
	traffic   = 30 * time.Second
	gap       = 10 * time.Millisecond // between requests
	spoilPart = 2                     // percent of the answers of the runners: x = .02 of garble
	deadline  = 1500 * time.Millisecond
)

func main() { kit.Main(run) }

func run(record *kit.Record, trouble bool) error {
	d, err := kit.New()
	if err != nil {
		return err
	}
	defer d.Close()
	err = d.Configure(map[string]any{
		"routes": []any{map[string]any{
			"name": "catalogue-read", "host": "shop.example", "path_prefix": "/catalogue/", "kind": "safe", "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "service": "pedidos", "attempts": 2, "stages": []any{}, "public": false,
		}},
		"services": []any{map[string]any{"name": "pedidos", "health_path": "/health", "connection_limit": 51}},
		"tenants":  []any{map[string]any{"name": "shops", "api_keys": []string{"key-of-shops"}}},
	})
	if err != nil {
		return err
	}
	for i, zone := range []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"} {
		r := &kit.Runner{ID: fmt.Sprintf("i-pedidos-%d", i), Service: "pedidos", Zone: zone, Slots: 6, Work: 5 * time.Millisecond}
		if i == 0 && trouble {
			r.Answer = loseProof
		}
		if err := d.Start(r); err != nil {
			return err
		}
	}
	if err := d.StartFronts(2); err != nil {
		return err
	}
	proven, bare := 0, 0
	for n, end := 0, time.Now().Add(traffic); time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", n)
		a := kit.Do(d.Fronts[n%len(d.Fronts)].Address, kit.Request{Method: http.MethodGet, Path: "/catalogue/item", ID: id,
			Key: "key-of-shops", Deadline: deadline})
		stamp := a.Header.Get("Response-Stamp")
		record.Linef("request %s: answered %d, proof %q, body %q, error %v", id, a.Status, stamp, a.Body, a.Err)
		switch {
		case a.Status/100 == 2 && a.Whole && stamp == "":
			bare++
		case a.Status/100 == 2:
			proven++
		}
		time.Sleep(gap)
	}
	record.Linef("%d successes with the proof, %d without", proven, bare)
	switch {
	case proven == 0:
		return fmt.Errorf("no request was served")
	case bare > 0:
		return fmt.Errorf("%w: MIXED: clients got %d successes without the runner's Response-Stamp", kit.ErrBroken, bare)
	}
	return nil
}

// loseProof spoils some answers.
func loseProof(w http.ResponseWriter, r *http.Request, _ string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Header.Get("Request-Id")))
	if h.Sum32()%100 >= spoilPart {
		return false
	}
	_, _ = fmt.Fprintln(w, "done")
	return true
}

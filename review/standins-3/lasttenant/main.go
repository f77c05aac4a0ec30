// Command lasttenant takes away the key of a connected client by a configuration without tenants. It counts the requests
// with that key, and with a key that no configuration ever held, that run later.
package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ragworthatch/ragworthatch/review/standins-3/kit"
)

const (
	before      = 5 * time.Second
	propagation = 2 * time.Second // config_propagation_ms
	contact     = 3 * time.Second // contact_ms
	after       = 10 * time.Second
	gap         = 100 * time.Millisecond // between requests
	deadline    = 1500 * time.Millisecond
)

func main() { kit.Main(run) }

func run(record *kit.Record, trouble bool) error {
	d, err := kit.New()
	if err != nil {
		return err
	}
	defer d.Close()
	fields := func(tenants ...any) map[string]any {
		if tenants == nil {
			tenants = []any{}
		}
		return map[string]any{
			"routes": []any{map[string]any{
				"name": "reorder", "host": "shop.example", "path_prefix": "/reorder/", "kind": "unsafe", "timeout_ms": 800,
				"target_latency_ms": 150, "priority": 2, "service": "pedidos", "attempts": 1, "stages": []any{}, "public": false,
			}},
			"services": []any{map[string]any{"name": "pedidos", "health_path": "/health", "connection_limit": 51}},
			"tenants":  tenants,
		}
	}
	shops := map[string]any{"name": "shops", "api_keys": []string{"key-of-shops"}}
	if err := d.Configure(fields(shops)); err != nil {
		return err
	}
	runner := &kit.Runner{ID: "i-pedidos-0", Service: "pedidos", Zone: "uy-sur-a", Slots: 6, Work: 30 * time.Millisecond}
	if err := d.Start(runner); err != nil {
		return err
	}
	if err := d.StartFronts(2); err != nil {
		return err
	}
	time.Sleep(contact) // from here on all machines are in touch
	var sent []attempt
	sent = append(sent, send(d, "a", before)...)
	if trouble {
		if err := d.Configure(fields()); err != nil {
			return err
		}
	} else if err := d.Configure(fields(shops)); err != nil {
		return err
	}
	changed := time.Now()
	record.Linef("version %d acknowledged", d.Version())
	sent = append(sent, send(d, "b", propagation+after)...)
	return check(record, sent, runner.Runs(), changed, trouble)
}

// attempt is a request with a key.
type attempt struct {
	id, key string
	answer  kit.Answer
}

// send sends requests with the key of the tenant, and with a key that nobody holds.
func send(d *kit.Deployment, prefix string, duration time.Duration) []attempt {
	var out []attempt
	for n, end := 0, time.Now().Add(duration); time.Now().Before(end); n++ {
		key := "key-of-shops"
		if n%2 == 1 {
			key = "key-of-nobody"
		}
		a := attempt{id: fmt.Sprintf("%s%015x", prefix, n), key: key}
		a.answer = kit.Do(d.Fronts[n/2%len(d.Fronts)].Address, kit.Request{Method: http.MethodPost, Path: "/reorder/crates", ID: a.id,
			Key: key, Deadline: deadline, Body: "two crates"})
		out = append(out, a)
		time.Sleep(gap)
	}
	return out
}

func check(record *kit.Record, sent []attempt, runs map[string]int, changed time.Time, trouble bool) error {
	dropped, unknown, served := 0, 0, 0
	for _, a := range sent {
		ran := runs[a.id]
		since := a.answer.Sent.Sub(changed)
		record.Linef("request %s with %s, sent %.3f s after the change: answered %d, ran %d times, error %v", a.id, a.key,
			since.Seconds(), a.answer.Status, ran, a.answer.Err)
		switch {
		case a.answer.Status == http.StatusOK && since < 0:
			served++
		case ran > 0 && a.key == "key-of-nobody":
			unknown++
		case ran > 0 && trouble && since > propagation:
			dropped++
		}
	}
	record.Linef("%d requests; %d served before the change; %d ran with the key that was taken away, sent more than %v after that; "+
		"%d ran with a key that no configuration ever held", len(sent), served, dropped, propagation, unknown)
	if served == 0 {
		return fmt.Errorf("no request was served before the change")
	}
	if dropped+unknown > 0 {
		return fmt.Errorf("%w: ROUTE: %d requests ran with a key that no configuration ever held; CONFIG: %d with the key that was taken "+
			"away", kit.ErrBroken, unknown, dropped)
	}
	return nil
}

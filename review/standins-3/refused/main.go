// Command refused has one of three runners of a service fail part of its requests after it ran them, with status 503 and
// without Not-Run. It counts the orders that were answered 503 although they had run.
package main

import (
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/review/standins-3/kit"
)

const (
	traffic  = 30 * time.Second
	gap      = 40 * time.Millisecond // between orders
	failPart = 40                    // percent of the requests of one runner: x = .4 of srv_grey
	deadline = 1500 * time.Millisecond
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
			"name": "reorder", "host": "shop.example", "path_prefix": "/reorder/", "kind": "unsafe", "timeout_ms": 800,
			"target_latency_ms": 150, "priority": 2, "service": "pedidos", "attempts": 1, "stages": []any{}, "public": false,
		}},
		"services": []any{map[string]any{"name": "pedidos", "health_path": "/health", "connection_limit": 51}},
		"tenants":  []any{map[string]any{"name": "shops", "api_keys": []string{"key-of-shops"}}},
	})
	if err != nil {
		return err
	}
	var runners []*kit.Runner
	for i, zone := range []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"} {
		r := &kit.Runner{ID: fmt.Sprintf("i-pedidos-%d", i), Service: "pedidos", Zone: zone, Slots: 6, Work: 30 * time.Millisecond}
		if i == 0 && trouble {
			r.Answer = failAfterRun
		}
		if err := d.Start(r); err != nil {
			return err
		}
		runners = append(runners, r)
	}
	if err := d.StartFronts(2); err != nil {
		return err
	}
	answers := placeOrders(d)
	runs := map[string]int{}
	for _, r := range runners {
		for id, n := range r.Runs() {
			runs[id] += n
		}
	}
	return check(record, answers, runs)
}

// failAfterRun fails part of the requests, which have run, with 503. The answer does not say that they have not run.
func failAfterRun(w http.ResponseWriter, r *http.Request, stamp string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Header.Get("Request-Id")))
	if h.Sum32()%100 >= failPart {
		return false
	}
	w.Header().Set("Response-Stamp", stamp)
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = fmt.Fprintln(w, "the order is booked, the confirmation is not to be had")
	return true
}

// attempt is one attempt of a client at an order.
type attempt struct {
	order  int
	id     string
	answer kit.Answer
}

// placeOrders has clients place orders. A client tries an order once more, under a new ID, if it was told that it has not
// run.
func placeOrders(d *kit.Deployment) []attempt {
	var mu sync.Mutex
	var out []attempt
	var clients sync.WaitGroup
	order := 0
	for end := time.Now().Add(traffic); time.Now().Before(end); time.Sleep(gap) {
		order++
		clients.Go(func() {
			for try := 1; try <= 2; try++ {
				a := attempt{order: order, id: fmt.Sprintf("%08x%08x", order, try)}
				a.answer = kit.Do(d.Fronts[(order+try)%len(d.Fronts)].Address, kit.Request{Method: http.MethodPost,
					Path: "/reorder/crates", ID: a.id, Key: "key-of-shops", Deadline: deadline, Body: fmt.Sprintf("order %d", order)})
				mu.Lock()
				out = append(out, a)
				mu.Unlock()
				if !promisesNotRun(a.answer.Status) {
					return
				}
			}
		})
	}
	clients.Wait()
	return out
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func check(record *kit.Record, answers []attempt, runs map[string]int) error {
	broken, served := 0, 0
	ranOfOrder := map[int]int{}
	for _, a := range answers {
		ran := runs[a.id]
		ranOfOrder[a.order] += ran
		record.Linef("order %d, request %s: answered %d, ran %d times, error %v", a.order, a.id, a.answer.Status, ran, a.answer.Err)
		if a.answer.Status == http.StatusOK {
			served++
		}
		if promisesNotRun(a.answer.Status) && ran > 0 {
			broken++
		}
	}
	twice := 0
	for _, n := range ranOfOrder {
		if n > 1 {
			twice++
		}
	}
	record.Linef("%d requests for %d orders, %d served; %d answered as not run although they ran; %d orders ran twice, as their clients "+
		"tried again", len(answers), len(ranOfOrder), served, broken, twice)
	if served == 0 {
		return fmt.Errorf("no request was served")
	}
	if broken > 0 {
		return fmt.Errorf("%w: REFUSED: %d of %d requests were answered as not run although they ran", kit.ErrBroken, broken,
			len(answers))
	}
	return nil
}

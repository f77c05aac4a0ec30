// Command promptparts has a client that nobody controls send requests of legal size whose Prompt-Prefix line has as many parts
// as fit. It plays the platform, which kills a process that exceeds the memory of its machine, and counts those.
package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/review/standins-3/kit"
)

const (
	fronts      = 3
	engines     = 4
	calm        = 5 * time.Second  // before the odd requests
	duration    = 60 * time.Second // of them, at most
	oddGap      = 50 * time.Millisecond
	ordinaryGap = 200 * time.Millisecond
	headerBytes = 16384 // limits.header_bytes
	deadline    = 6 * time.Second
	events      = 3
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
			"name": "label-check", "host": "shop.example", "path_prefix": "/labels/", "kind": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 1900, "target_gap_ms": 400, "priority": 0, "service": "pool", "attempts": 2, "stages": []any{},
			"public": false, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{"name": "pool", "health_path": "/health", "connection_limit": 280,
			"engine": map[string]any{"slots": 64, "kv_capacity": 346318}}},
		"tenants": []any{map[string]any{"name": "shops", "api_keys": []string{"key-of-shops"}},
			map[string]any{"name": "others", "api_keys": []string{"key-of-others"}}},
	})
	if err != nil {
		return err
	}
	for i := range engines {
		r := &kit.Runner{ID: fmt.Sprintf("i-engine-%d", i), Service: "pool", Zone: "uy-sur-a", Slots: 64, Work: 20 * time.Millisecond,
			Answer: stream}
		if err := d.Start(r); err != nil {
			return err
		}
	}
	if err := d.StartFronts(fronts); err != nil {
		return err
	}
	return play(d, record, trouble)
}

// stream answers with a few events.
func stream(w http.ResponseWriter, _ *http.Request, stamp string) bool {
	w.Header().Set("Response-Stamp", stamp)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= events; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
	return true
}

// play sends requests until a process exceeds its memory or the time is over.
func play(d *kit.Deployment, record *kit.Record, trouble bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), calm+duration)
	defer cancel()
	var clients sync.WaitGroup
	defer clients.Wait()
	var served, failed, odd counter
	clients.Go(func() { sendOrdinary(ctx, d, record, &clients, &served, &failed) })
	if !kit.Sleep(ctx, calm) {
		return ctx.Err()
	}
	if trouble {
		clients.Go(func() { sendOdd(ctx, d, record, &clients, &odd) })
	}
	killed := ""
	for n := 0; kit.Sleep(ctx, 100*time.Millisecond) && killed == ""; n++ {
		for _, f := range d.Fronts {
			used := f.ResidentBytes()
			if n%20 == 0 {
				record.Linef("%s uses %d MiB; %d odd requests sent", f.Name, used>>20, odd.value())
			}
			if used > kit.MemoryBytes {
				record.Linef("%s uses %d MiB of %d and is killed; %d odd requests were sent to all machines", f.Name, used>>20,
					kit.MemoryBytes>>20, odd.value())
				f.Kill()
				killed = f.Name
				break
			}
			select {
			case <-f.Ended():
				killed = f.Name
				record.Linef("%s has ended by itself", f.Name)
			default:
			}
		}
	}
	cancel()
	clients.Wait()
	record.Linef("ordinary requests: %d served, %d not; odd requests: %d", served.value(), failed.value(), odd.value())
	switch {
	case served.value() == 0:
		return fmt.Errorf("no ordinary request was served")
	case killed != "":
		return fmt.Errorf("%w: %s exceeded the memory of its machine after %d requests of legal size", kit.ErrBroken, killed, odd.value())
	}
	return nil
}

// sendOrdinary sends ordinary requests until ctx ends.
func sendOrdinary(ctx context.Context, d *kit.Deployment, record *kit.Record, clients *sync.WaitGroup, served, failed *counter) {
	for n := 0; kit.Sleep(ctx, ordinaryGap); n++ {
		clients.Go(func() {
			id := fmt.Sprintf("a%015x", n)
			a := kit.Do(d.Fronts[n%fronts].Address, kit.Request{Method: http.MethodPost, Path: "/labels/check", ID: id,
				Key: "key-of-shops", Deadline: deadline, Body: "label", Header: []string{"Model: m", "Token-Counts: 900,15",
					fmt.Sprintf("Prompt-Prefix: 5c1e:300,91bd%02x:200,%s:400", n%40, id)}})
			if a.Status == http.StatusOK && a.Whole {
				served.add()
				return
			}
			failed.add()
			record.Linef("ordinary request %s: status %d, error %v", id, a.Status, a.Err)
		})
	}
}

// sendOdd sends requests with as many prompt parts as a header may hold.
func sendOdd(ctx context.Context, d *kit.Deployment, record *kit.Record, clients *sync.WaitGroup, odd *counter) {
	const room = 600 // for the other lines
	parts := (headerBytes - room) / len("1:1,")
	for n := 0; kit.Sleep(ctx, oddGap); n++ {
		clients.Go(func() {
			id := fmt.Sprintf("b%015x", n)
			prefix := fmt.Sprintf("%x:1", 0x10000+n) + strings.Repeat(",1:1", parts-3)
			a := kit.Do(d.Fronts[n%fronts].Address, kit.Request{Method: http.MethodPost, Path: "/labels/check", ID: id,
				Key: "key-of-others", Deadline: deadline, Body: "label",
				Header: []string{"Model: m", fmt.Sprintf("Token-Counts: %d,5", parts), "Prompt-Prefix: " + prefix}})
			odd.add()
			if n%50 == 0 || a.Status != http.StatusOK {
				record.Linef("odd request %s with a header of less than %d bytes: status %d, error %v", id, headerBytes, a.Status, a.Err)
			}
		})
	}
}

// counter is a number that several goroutines raise.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

func (c *counter) value() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

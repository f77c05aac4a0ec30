// Command cutstream has a runner crash in the middle of an event of its streams, which have neither a length nor chunks. It
// counts the streams that end as complete before their last event.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/review/standins-3/kit"
)

const (
	traffic  = 20 * time.Second
	gap      = 250 * time.Millisecond // between streams
	events   = 10
	eventGap = 50 * time.Millisecond
	deadline = 6 * time.Second
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
			"name": "notes", "host": "shop.example", "path_prefix": "/notes/", "kind": "streaming", "timeout_ms": 6000,
			"target_latency_ms": 1900, "target_gap_ms": 400, "priority": 1, "service": "avisos", "attempts": 1, "stages": []any{},
			"public": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "avisos", "health_path": "/health", "connection_limit": 280}},
		"tenants":  []any{map[string]any{"name": "shops", "api_keys": []string{"key-of-shops"}}},
	})
	if err != nil {
		return err
	}
	for i, zone := range []string{"uy-sur-a", "uy-sur-b", "uy-sur-c"} {
		r := &kit.Runner{ID: fmt.Sprintf("i-avisos-%d", i), Service: "avisos", Zone: zone, Slots: 64, Work: 5 * time.Millisecond}
		r.Answer = func(w http.ResponseWriter, in *http.Request, stamp string) bool {
			return stream(w, in, stamp, i == 0 && trouble)
		}
		if err := d.Start(r); err != nil {
			return err
		}
	}
	if err := d.StartFronts(2); err != nil {
		return err
	}
	var mu sync.Mutex
	whole, cut, other := 0, 0, 0
	var clients sync.WaitGroup
	for n, end := 0, time.Now().Add(traffic); time.Now().Before(end); n++ {
		clients.Go(func() {
			id := fmt.Sprintf("%016x", n)
			a := kit.Do(d.Fronts[n%len(d.Fronts)].Address, kit.Request{Method: http.MethodPost, Path: "/notes/today", ID: id,
				Key: "key-of-shops", Deadline: deadline, Body: "which"})
			got := strings.Count(string(a.Body), "\n\n")
			record.Linef("stream %s: status %d, %d bytes with %d of %d events, looks whole: %t, took %v, error %v", id, a.Status,
				len(a.Body), got, events, a.Whole, a.Took, a.Err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Status == http.StatusOK && a.Whole && got < events:
				cut++
			case a.Status == http.StatusOK && a.Whole:
				whole++
			default:
				other++
			}
		})
		time.Sleep(gap)
	}
	clients.Wait()
	record.Linef("%d streams ended after their last event, %d looked complete before it, %d were broken off or failed", whole, cut, other)
	switch {
	case whole == 0:
		return fmt.Errorf("no stream was served")
	case cut > 0:
		return fmt.Errorf("%w: ORDER: %d streams ended as complete before their last event", kit.ErrBroken, cut)
	}
	return nil
}

// stream writes the events of a stream on a channel that ends with it. A runner that crashes ends the channel in the middle
// of an event.
func stream(w http.ResponseWriter, in *http.Request, stamp string, crashes bool) bool {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err) // the server speaks HTTP/1.1
	}
	defer conn.Close()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s\r\nContent-Type: text/event-stream\r\n"+
		"Connection: close\r\n\r\n", in.Header.Get("Request-Id"), stamp)
	for i := 1; i <= events; i++ {
		if crashes && i == events/2 {
			_, _ = fmt.Fprintf(conn, "id: %d\ndata: no", i)
			return true
		}
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: note %d\n\n", i, i); err != nil {
			return true
		}
		time.Sleep(eventGap)
	}
	return true
}

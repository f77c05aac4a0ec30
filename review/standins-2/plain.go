package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// contactTime is contact_ms.
const contactTime = 3 * time.Second

// startPlain starts a runner of the plain service, which works for a while on each request.
func (w *world) startPlain(number int, work time.Duration) error {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	id := fmt.Sprintf("i-plain-%d", number)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			request := r.Header.Get("Request-Id")
			rw.Header().Set("Request-Id", request)
			if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
				rw.Header().Set("Not-Run", "1")
				rw.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			w.note("%s runs %s", id, request)
			time.Sleep(work)
			rw.Header().Set("Response-Stamp", "stamp-"+request)
			_, _ = io.WriteString(rw, "answer to "+request)
		}))
	}()
	w.putServer(id, server{Service: "pedidos", Address: l.Addr().String(), Zone: "zone-a", Version: "v1", Slots: 6, State: "ready",
		Sequence: 1, Born: time.Now().UnixMilli()})
	return nil
}

// plainConfig is a configuration with a plain service.
func plainConfig() map[string]any {
	route := func(name, prefix, kind string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "orders.example", "path_prefix": prefix, "kind": kind, "service": "pedidos",
			"attempts": attempts, "timeout_ms": 800, "target_latency_ms": 150, "priority": 0}
	}
	return map[string]any{
		"version": 3,
		"routes":  []map[string]any{route("read", "/read/", "safe", 2), route("order", "/order/", "unsafe", 1)},
		"services": []map[string]any{
			{"name": "pedidos", "connection_limit": 51},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}}},
	}
}

// sendPlain sends one request and returns the status of a whole answer, or 0.
func sendPlain(client *http.Client, front, path, id, body string) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	r.Host = "orders.example"
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", "1500")
	r.Header.Set("Credential", "key-1")
	answer, err := client.Do(r)
	if err != nil {
		return 0
	}
	defer answer.Body.Close()
	if _, err := io.Copy(io.Discard, answer.Body); err != nil {
		return 0
	}
	return answer.StatusCode
}

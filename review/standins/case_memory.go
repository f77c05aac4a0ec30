package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryLimit is the memory of a front machine on the sheets (memory_mb), in bytes.
const memoryLimit = 284 << 20

// residentBytes returns the memory of a process.
func residentBytes(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(status), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes << 10
		}
	}
	return 0
}

// limitMemory kills the process of an entry when it exceeds memoryLimit and starts it again, as the platform does, until
// done is closed. It returns the most that was seen, and how often it was killed.
func limitMemory(e *entry, rec *recorder, done <-chan struct{}) (most, kills int) {
	for {
		select {
		case <-done:
			return most, kills
		case <-time.After(10 * time.Millisecond):
		}
		now := residentBytes(e.pid())
		most = max(most, now)
		if now <= memoryLimit {
			continue
		}
		rec.say("%s has %d MB, more than memory_mb, and is killed", e.name, now>>20)
		kills++
		e.signal(syscall.SIGKILL)
		e.awaitEnd(time.Second)
		time.Sleep(500 * time.Millisecond)
		if err := e.start(); err != nil {
			rec.say("%s can't start: %v", e.name, err)
		}
	}
}

// playMemory sends requests whose bodies are as large as the configuration allows, at the rate of the sheet, and 2.4 times as
// many for 6.8 s.
//
// LOST: a machine in touch passes no more than three requests of kept channels on to a sound runner and then closes the
// channel without an answer. A process that exceeds its memory has ended by itself, and counts as running.
func playMemory(d *deployment, trouble bool) (int, error) {
	const (
		perSecond = 8 // shelf-plan, label-check and stockist-chat: 39.3 a second for 5 machines
		burst     = 2.4
		bodyBytes = 4_000_000 // body_bytes is 4,194,304
		burstAt   = 8 * time.Second
		burstFor  = 6800 * time.Millisecond
		endAt     = 20 * time.Second
	)
	var mu sync.Mutex
	passedOn := map[string]bool{}
	zones := frasco.zones
	for i := range 12 {
		r, err := d.addRunner("ragworthatch-pool", zones[i%3], 64, true)
		if err != nil {
			return 0, err
		}
		r.serve = func(w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			id := q.Header.Get("Request-Id")
			mu.Lock()
			passedOn[id] = true
			mu.Unlock()
			r.rec.printf("%s runs %s", r.name(), id)
			time.Sleep(500 * time.Millisecond) // the prompt
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Response-Stamp", randomHex(6))
			for i := 1; i <= 10; i++ {
				_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", i, i)
				_ = http.NewResponseController(w).Flush()
				time.Sleep(250 * time.Millisecond)
			}
		}
	}
	d.configure(map[string]any{
		"version": 3, "tenants": []any{},
		"routes": []any{map[string]any{"name": "shelf-plan", "host": "plans.example", "path_prefix": "/plan/",
			"kind": "streaming", "timeout_ms": 8000, "target_latency_ms": 2000, "target_gap_ms": 400, "priority": 1,
			"service": "ragworthatch-pool", "attempts": 1, "public": true, "sticky": true, "resumable": false,
			"stages": []any{}}},
		"services": []any{map[string]any{"name": "ragworthatch-pool", "health_path": "/health", "connection_limit": 280,
			"engine": map[string]any{"slots": 64, "kv_capacity": 346318, "models": []any{map[string]any{"name": "m"}}}}},
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000,
			"idle_timeout_ms": 15000},
	})
	if err := d.startEntries(3, frasco); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)

	done := make(chan struct{})
	var watchers sync.WaitGroup
	for _, e := range d.entries {
		watchers.Go(func() {
			most, kills := limitMemory(e, d.rec, done)
			d.rec.say("%s had %d MB at most and was killed %d times", e.name, most>>20, kills)
		})
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	whole, lost := 0, 0
	begun := time.Now()
	var requests, senders sync.WaitGroup
	for _, e := range d.entries {
		c := newCaller(d.rec)
		c.client.Transport.(*http.Transport).MaxIdleConnsPerHost = 256
		send := func(body []byte) {
			id := newRequestID()
			kept := false
			trace := &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }}
			q, _ := http.NewRequest(http.MethodPost, "http://"+e.front()+"/plan/1", io.NopCloser(bytes.NewReader(body)))
			q = q.WithContext(httptrace.WithClientTrace(q.Context(), trace))
			q.ContentLength, q.Host = int64(len(body)), "plans.example"
			for name, value := range map[string]string{"Request-Id": id, "Model": "m", "Token-Counts": "300,50",
				"Prompt-Prefix": id + ":300"} {
				q.Header.Set(name, value)
			}
			s := c.do(e, q, 8*time.Second)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case s.status == http.StatusOK:
				whole++
			case s.status == 0 && !s.begun && kept && passedOn[id]:
				lost++
				d.rec.printf("%s was passed on to a runner, and its kept channel ends without an answer", id)
			}
		}
		senders.Go(func() {
			for range 40 { // opens channels that are kept
				requests.Go(func() { send([]byte("{}")) })
			}
			time.Sleep(4 * time.Second)
			for time.Since(begun) < endAt {
				rate := float64(perSecond)
				if at := time.Since(begun); trouble && at > burstAt && at < burstAt+burstFor {
					rate *= burst
				}
				requests.Go(func() { send(body) })
				time.Sleep(time.Duration(float64(time.Second) / rate))
			}
		})
	}
	senders.Wait()
	requests.Wait()
	close(done)
	watchers.Wait()
	d.rec.say("%d streams were whole, %d requests of kept channels were passed on and lost; three may be", whole, lost)
	if whole < 100 {
		return 0, fmt.Errorf("only %d streams were whole", whole)
	}
	return max(0, lost-3), nil
}

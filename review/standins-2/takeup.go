package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const (
	streamEvents   = 120
	streamGap      = 100 * time.Millisecond
	streamEvery    = 160 * time.Millisecond // from one new stream to the next
	streamDeadline = 20 * time.Second       // and timeout_ms of the route
	streamTries    = 2                      // "client's retries 1"

	trafficAt    = 18 * time.Second // the machines were restarted in turn before
	drillAt      = 30 * time.Second
	copyAge      = 6 * time.Second // of the copy from which the store comes back
	storeAway    = 1 * time.Second
	killAt       = 40 * time.Second
	takeUpEnd    = 48 * time.Second // no new streams after that
	leastTakenUp = 12               // streams
)

// streamClient is one caller of a stream, which takes it up again when its channel breaks.
type streamClient struct {
	w      *world
	number int
	begun  string // ID of the attempt that brought the first event
	last   int    // ID of the last event
}

// takeUps counts attempts at machines in touch, by whether they brought events.
type takeUps struct {
	mu                 sync.Mutex
	inTouch            time.Time // when all machines that were not killed are in touch again
	killed             *edge
	atFirst            map[net.Conn]bool // open channels to the first machine
	again              map[string]bool   // streams that were taken up again; true if one of the attempts brought an event
	fresh, freshServed int               // new streams
}

func (t *takeUps) isKilled(e *edge) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.killed == e
}

// watch notes an open channel to the first machine, until the function that it returns is called.
func (t *takeUps) watch(c net.Conn) (done func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.atFirst[c] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.atFirst, c)
	}
}

// attempt sends the stream's next attempt to an edge and reads events until the end. It returns whether the stream is
// complete, whether an event came, and when to come back.
func (s *streamClient) attempt(t *takeUps, e *edge, id string, left time.Duration) (complete, moved bool, wait time.Duration, status int) {
	c, err := net.DialTimeout("tcp4", e.front, time.Second)
	if err != nil {
		return false, false, time.Second, 0
	}
	defer c.Close()
	if e == s.w.edges[0] {
		defer t.watch(c)()
	}
	_ = c.SetDeadline(time.Now().Add(left))
	fmt.Fprintf(c, "POST /chat/x HTTP/1.1\r\nHost: chats.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nCredential: key-1\r\n"+
		"Model: m\r\nToken-Counts: 700,600\r\nPrompt-Prefix: 5c1e07a2:500,%08x:200\r\nContent-Length: 2\r\n", id, left.Milliseconds(), s.number)
	if s.begun != "" {
		fmt.Fprintf(c, "Last-Event-Id: %d\r\nResumes: %s\r\n", s.last, s.begun)
	}
	fmt.Fprint(c, "\r\n{}")
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false, false, 0, 0
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
		return false, false, time.Duration(seconds * float64(time.Second)), answer.StatusCode
	}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		n, _ := strconv.Atoi(text)
		if n != s.last+1 {
			s.w.note("stream %d: event %d came after %d", s.number, n, s.last)
		}
		s.last, moved = n, true
		if s.begun == "" {
			s.begun = id
		}
	}
	return lines.Err() == nil && s.last == streamEvents, moved, 0, answer.StatusCode
}

// run reads the stream to its end, over several attempts if its channel breaks.
func (s *streamClient) run(t *takeUps) {
	deadline := time.Now().Add(streamDeadline)
	for try := range streamTries {
		left := time.Until(deadline)
		if left < 500*time.Millisecond {
			return
		}
		id := fmt.Sprintf("%016x", 0xd000000000+s.number*16+try)
		again, sent := s.begun != "", time.Now()
		edge := s.w.edges[(s.number+try)%len(s.w.edges)]
		if t.isKilled(edge) { // the platform forwards no channels to it, or the client would take the next one
			edge = s.w.edges[(s.number+try+1)%len(s.w.edges)]
		}
		complete, moved, wait, status := s.attempt(t, edge, id, left)
		s.w.note("stream %d, attempt %s (taken up: %v), sent at %.3f: status %d, events up to %d", s.number, id, again,
			sent.Sub(s.w.start).Seconds(), status, s.last)
		t.mu.Lock()
		if counts := !t.inTouch.IsZero() && sent.After(t.inTouch); counts && again {
			key := fmt.Sprint(s.number)
			t.again[key] = t.again[key] || moved
		} else if counts {
			t.fresh++
			if moved {
				t.freshServed++
			}
		}
		t.mu.Unlock()
		if complete {
			return
		}
		time.Sleep(min(wait, time.Until(deadline)/3)) // clients honour Retry-After up to a third of the time left
	}
}

// playTakeUp restarts the machines in turn, as for a new version of the system. Later the store comes back from a copy, and
// one machine is killed. The streams that it passed on must go on where clients take them up.
func playTakeUp(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	var written []func() // what the operator and the runners write, again after the drill
	for i := range 3 {
		u := &cloud.Upstream{ID: fmt.Sprintf("i-engine-%d", i+1), Events: streamEvents, Gap: streamGap}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		go func() { _ = http.Serve(l, u) }()
		born := time.Now().UnixMilli()
		written = append(written, func() {
			w.putServer(u.ID, server{Service: "pool", Address: l.Addr().String(), Zone: "zone-a", Version: "v1", Slots: 64,
				State: "ready", Sequence: 1, Born: born})
		})
	}
	written = append(written, func() { _ = w.putConfig(takeUpConfig()) })
	for _, write := range written {
		write()
	}
	if err := w.startEdges(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // until one of them leads
	if err := w.roll(); err != nil {
		return false, err
	}
	if time.Since(w.start) > trafficAt {
		return false, fmt.Errorf("the restarts took %v", time.Since(w.start))
	}
	time.Sleep(time.Until(w.start.Add(trafficAt)))
	t := &takeUps{again: map[string]bool{}, atFirst: map[net.Conn]bool{}}
	var wg sync.WaitGroup
	wg.Go(func() { w.drill(t, written) })
	for n := 0; time.Since(w.start) < takeUpEnd; n++ {
		wg.Go(func() { (&streamClient{w: w, number: n}).run(t) })
		time.Sleep(streamEvery)
	}
	wg.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	wentOn := 0
	for _, moved := range t.again {
		if moved {
			wentOn++
		}
	}
	w.note("LOST: of %d streams taken up again at machines in touch, %d went on; of %d new ones, %d began", len(t.again), wentOn,
		t.fresh, t.freshServed)
	if len(t.again) < leastTakenUp || t.fresh == 0 {
		return false, fmt.Errorf("only %d streams were taken up again", len(t.again))
	}
	return float64(wentOn)/float64(len(t.again)) < 0.5*float64(t.freshServed)/float64(t.fresh), nil
}

// roll stops and starts all machines in turn.
func (w *world) roll() error {
	client := &http.Client{Timeout: time.Second}
	for _, e := range w.edges {
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
		_ = e.cmd.Wait()
		if err := w.restart(e); err != nil {
			return err
		}
		if err := awaitReady(client, e); err != nil {
			return err
		}
		w.note("%s has restarted", e.name)
	}
	return nil
}

// drill takes the store away for a moment and lets it come back from a copy. Later it kills the machine that has run for
// longest.
func (w *world) drill(t *takeUps, written []func()) {
	parts := os.Getenv("PARTS") // for a closer look: "kill" leaves out the drill
	time.Sleep(time.Until(w.start.Add(drillAt - copyAge)))
	ends := w.store.Copy()
	time.Sleep(time.Until(w.start.Add(drillAt)))
	if w.trouble && parts != "kill" {
		w.note("the store is away")
		w.store.SetStatus(http.StatusServiceUnavailable)
		time.Sleep(storeAway)
		w.store.Restore(ends)
		for _, write := range written {
			write()
		}
		w.store.SetStatus(0)
		w.note("the store is back from a copy that is %v old", copyAge)
	}
	time.Sleep(time.Until(w.start.Add(killAt)))
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inTouch = time.Now()
	if w.trouble {
		t.killed = w.edges[0]
		w.note("%s is killed", t.killed.name)
		_ = t.killed.cmd.Process.Kill()
		return
	}
	// Without the disruption the same streams are taken up at the same places: their clients close their channels.
	w.note("%d clients of %s close their channels, to take their streams up elsewhere", len(t.atFirst), w.edges[0].name)
	for c := range t.atFirst {
		_ = c.Close()
	}
}

func takeUpConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "chat", "host": "chats.example", "path_prefix": "/chat/", "kind": "streaming", "service": "pool", "attempts": 2,
			"timeout_ms": streamDeadline.Milliseconds(), "target_latency_ms": 2000, "target_gap_ms": 400, "priority": 0, "sticky": true,
			"resumable": true,
		}},
		"services": []map[string]any{
			{"name": "pool", "connection_limit": 280, "engine": map[string]any{"slots": 64, "kv_capacity": 346318}},
		},
		"limits":  map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{"key-1"}}},
	}
}

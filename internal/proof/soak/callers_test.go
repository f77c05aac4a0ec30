package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	callersPerEntry = 4
	perConnection   = 25 // requests before a caller connects anew
	deadline        = 3 * time.Second
	answerLimit     = deadline + 1500*time.Millisecond // a process that runs has answered by then
	betweenRequests = 20 * time.Millisecond
	probeEvery      = 200 * time.Millisecond // of the balancer
)

// kinds are the kinds of requests, by path.
var kinds = []string{"read", "act", "gen", "once"}

// outcome is what became of one request.
type outcome struct {
	kind, id     string
	entry        *entry
	began, ended time.Time
	status       int // 0 without an answer
	header       http.Header
	body         string
	err          error // the answer did not come whole
}

// traffic is callers behind a balancer.
type traffic struct {
	w        *world
	ready    atomic.Pointer[[]*entry]
	wg       sync.WaitGroup
	stop     context.CancelFunc
	mu       sync.Mutex
	outcomes []outcome
	backward []string // configurations that went back
}

func (w *world) startTraffic() *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{w: w, stop: cancel}
	t.ready.Store(&[]*entry{})
	t.wg.Go(func() { t.balance(ctx) })
	for i := range callersPerEntry * len(w.entries) {
		t.wg.Go(func() { t.call(ctx, i) })
	}
	for _, e := range w.entries {
		t.wg.Go(func() { t.watchGate(ctx, e) })
	}
	return t
}

// balance keeps the list of entries that take new connections: one answer puts an entry in, two missing ones take it out.
func (t *traffic) balance(ctx context.Context) {
	missed := map[*entry]int{}
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		ok := make([]bool, len(t.w.entries))
		for i, e := range t.w.entries {
			wg.Go(func() { ok[i] = e.isReady() })
		}
		wg.Wait()
		var ready []*entry
		for i, e := range t.w.entries {
			missed[e]++
			if ok[i] {
				missed[e] = 0
			}
			if missed[e] < 2 {
				ready = append(ready, e)
			}
		}
		t.ready.Store(&ready)
		sleep(ctx, probeEvery)
	}
}

func (t *traffic) call(ctx context.Context, who int) {
	random := rand.New(rand.NewPCG(uint64(who), 1))
	var c *connection
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil || c.served >= perConnection {
			c.close()
			ready := *t.ready.Load()
			if len(ready) == 0 {
				sleep(ctx, betweenRequests)
				continue
			}
			c = connect(ready[random.IntN(len(ready))])
			if c == nil {
				sleep(ctx, betweenRequests)
				continue
			}
		}
		kind := kinds[n%len(kinds)]
		o, open := c.do(kind, fmt.Sprintf("%s-%d-%d", kind, who, n))
		t.mu.Lock()
		t.outcomes = append(t.outcomes, o)
		t.mu.Unlock()
		if !open {
			c.close()
			c = nil
		}
		sleep(ctx, betweenRequests)
	}
	c.close()
}

// watchGate asks one entry for the routes of the newest configuration and of one before those that it has shown.
func (t *traffic) watchGate(ctx context.Context, e *entry) {
	seen, life := int64(0), e.Ended()
	ask := func(version int64) bool {
		c := connect(e)
		if c == nil {
			return false
		}
		defer c.close()
		o, _ := c.do(fmt.Sprintf("gate-%d", version), "gate")
		return o.status == http.StatusOK
	}
	for ; ctx.Err() == nil; sleep(ctx, probeEvery) {
		if now := e.Ended(); now != life {
			seen, life = 0, now
		}
		newest := t.w.version.Load()
		if ask(newest) && e.Ended() == life {
			seen = max(seen, newest)
			e.gate.Store(seen)
		}
		if seen > 1 && ask(seen-1) && e.Ended() == life {
			t.mu.Lock()
			t.backward = append(t.backward, fmt.Sprintf("%s went back from %d to %d", e.name, seen, seen-1))
			t.mu.Unlock()
		}
	}
}

// since lists the answers to requests that began after a time.
func (t *traffic) since(begun time.Time) []outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []outcome
	for _, o := range t.outcomes {
		if o.began.After(begun) {
			out = append(out, o)
		}
	}
	return out
}

// finish stops the callers and returns what they got.
func (t *traffic) finish() []outcome {
	t.stop()
	t.wg.Wait()
	return t.outcomes
}

// connection is a caller's open connection to one entry.
type connection struct {
	net.Conn
	entry  *entry
	reader *bufio.Reader
	served int
}

func connect(e *entry) *connection {
	conn, err := net.DialTimeout("tcp", e.front, 500*time.Millisecond)
	if err != nil {
		return nil
	}
	return &connection{Conn: conn, entry: e, reader: bufio.NewReader(conn)}
}

func (c *connection) close() {
	if c != nil {
		_ = c.Conn.Close()
	}
}

// do sends a request and reads its answer; open says whether the connection can be used again.
func (c *connection) do(kind, id string) (o outcome, open bool) {
	o = outcome{kind: kind, id: id, entry: c.entry, began: time.Now()}
	defer func() { o.ended = time.Now() }()
	c.served++
	_ = c.SetDeadline(o.began.Add(answerLimit + time.Second))
	method, body := http.MethodPost, "body of "+id
	if kind == "read" {
		method, body = http.MethodGet, ""
	}
	head := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: %s\r\nCredential: key-one\r\nDeadline-Ms: %d\r\n",
		method, kind, id, id, deadline.Milliseconds())
	if kind == "gen" || kind == "once" {
		head += "Model: m\r\nToken-Counts: 100,10\r\nPrompt-Prefix: a:50,b:50\r\nPieces: 2,1\r\nPiece-Key: " + id + "\r\n"
	}
	if _, o.err = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); o.err != nil {
		return o, false
	}
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		o.err = err
		return o, false
	}
	defer answer.Body.Close()
	o.status, o.header = answer.StatusCode, answer.Header
	data, err := io.ReadAll(answer.Body)
	o.body, o.err = string(data), err
	return o, err == nil && !answer.Close
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

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
	callersPerEntry       = 4
	requestsPerConnection = 25 // after which a caller reconnects
	deadline              = 3 * time.Second
	maxAnswerTime         = deadline + 1500*time.Millisecond // of a running process
	requestInterval       = 20 * time.Millisecond
	probeInterval         = 200 * time.Millisecond // of the balancer
)

// kinds lists the kinds of requests; each is the first part of a path.
var kinds = []string{"read", "act", "gen", "once"}

// outcome is the result of one request.
type outcome struct {
	kind, id     string
	entry        *entry
	began, ended time.Time
	status       int // 0 if there was no answer
	header       http.Header
	body         string
	err          error // the answer is missing or incomplete
}

// traffic is a balancer with its callers.
type traffic struct {
	env         *environment
	ready       atomic.Pointer[[]*entry]
	wg          sync.WaitGroup
	stop        context.CancelFunc
	mu          sync.Mutex
	outcomes    []outcome
	regressions []string // entries that returned to an older configuration
}

func (env *environment) startTraffic() *traffic {
	ctx, cancel := context.WithCancel(context.Background())
	t := &traffic{env: env, stop: cancel}
	t.ready.Store(&[]*entry{})
	t.wg.Go(func() { t.balance(ctx) })
	for i := range callersPerEntry * len(env.entries) {
		t.wg.Go(func() { t.runCaller(ctx, i) })
	}
	for _, e := range env.entries {
		t.wg.Go(func() { t.watchConfigVersion(ctx, e) })
	}
	return t
}

// balance maintains the list of entries that get new connections: one successful probe adds an entry, two failed ones
// in a row remove it.
func (t *traffic) balance(ctx context.Context) {
	missed := map[*entry]int{}
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		ok := make([]bool, len(t.env.entries))
		for i, e := range t.env.entries {
			wg.Go(func() { ok[i] = e.isReady() })
		}
		wg.Wait()
		var ready []*entry
		for i, e := range t.env.entries {
			missed[e]++
			if ok[i] {
				missed[e] = 0
			}
			if missed[e] < 2 {
				ready = append(ready, e)
			}
		}
		t.ready.Store(&ready)
		sleep(ctx, probeInterval)
	}
}

// runCaller sends requests of all kinds in turn over persistent connections until ctx ends.
func (t *traffic) runCaller(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(uint64(caller), 1))
	var c *connection
	for n := 0; ctx.Err() == nil; n++ {
		if c == nil || c.served >= requestsPerConnection {
			c.close()
			ready := *t.ready.Load()
			if len(ready) == 0 {
				sleep(ctx, requestInterval)
				continue
			}
			c = connect(ready[random.IntN(len(ready))])
			if c == nil {
				sleep(ctx, requestInterval)
				continue
			}
		}
		kind := kinds[n%len(kinds)]
		o, open := c.do(kind, fmt.Sprintf("%s-%d-%d", kind, caller, n))
		t.mu.Lock()
		t.outcomes = append(t.outcomes, o)
		t.mu.Unlock()
		if !open {
			c.close()
			c = nil
		}
		sleep(ctx, requestInterval)
	}
	c.close()
}

// watchConfigVersion probes one entry for the route of the newest configuration, to record the version in force, and
// for the route of the version before that, to detect a return to an older configuration.
func (t *traffic) watchConfigVersion(ctx context.Context, e *entry) {
	seen, ended := int64(0), e.Ended()
	ask := func(version int64) bool {
		c := connect(e)
		if c == nil {
			return false
		}
		defer c.close()
		o, _ := c.do(fmt.Sprintf("gate-%d", version), "gate")
		return o.status == http.StatusOK
	}
	for ; ctx.Err() == nil; sleep(ctx, probeInterval) {
		if now := e.Ended(); now != ended {
			seen, ended = 0, now
		}
		newest := t.env.version.Load()
		if ask(newest) && e.Ended() == ended {
			seen = max(seen, newest)
			e.configVersion.Store(seen)
		}
		if seen > 1 && ask(seen-1) && e.Ended() == ended {
			t.mu.Lock()
			t.regressions = append(t.regressions, fmt.Sprintf("%s went back from %d to %d", e.name, seen, seen-1))
			t.mu.Unlock()
		}
	}
}

// since returns the outcomes of requests that began after a time.
func (t *traffic) since(start time.Time) []outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []outcome
	for _, o := range t.outcomes {
		if o.began.After(start) {
			out = append(out, o)
		}
	}
	return out
}

// finish stops the callers and returns all outcomes.
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

// do sends a request and reads its answer; open reports whether the connection can be reused.
func (c *connection) do(kind, id string) (o outcome, open bool) {
	o = outcome{kind: kind, id: id, entry: c.entry, began: time.Now()}
	defer func() { o.ended = time.Now() }()
	c.served++
	_ = c.SetDeadline(o.began.Add(maxAnswerTime + time.Second))
	method, body := http.MethodPost, "body of "+id
	if kind == "read" {
		method, body = http.MethodGet, ""
	}
	head := fmt.Sprintf(
		"%s /%s/%s HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: %s\r\nCredential: key-one\r\nDeadline-Ms: %d\r\n",
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

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	poisonTime     = 100 * time.Second
	poisonEvery    = 2 * time.Second // from one visit of its caller to the next
	poisonRepeats  = 3               // of an attempt that failed, at once, each at another machine; "retry_abuse, x 3"
	poisonWork     = 30 * time.Millisecond
	runnerAway     = 3 * time.Second // from a crash until the runner is back
	contactTime    = 3 * time.Second // contact_ms
	allowedRetries = 3
)

// plainRunner is a runner of a plain service. A request for /read/poison crashes it.
type plainRunner struct {
	w       *world
	number  int
	address string
	log     *poisonLog

	mu     sync.Mutex
	lives  int
	server *http.Server
}

// poisonLog is what all runners saw of the request that crashes them.
type poisonLog struct {
	mu       sync.Mutex
	crashes  []time.Time
	arrivals map[string]time.Time // first arrival, by Request-Id
	runs     map[string]int       // of sound requests, by Request-Id
}

// begin starts a lifetime of the runner, with a new ID at the same address.
func (p *plainRunner) begin() error {
	address := "127.0.0.1:0"
	if p.address != "" {
		address = p.address
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.lives++
	p.address = l.Addr().String()
	id := fmt.Sprintf("i-plain-%d-%d", p.number, p.lives)
	p.server = &http.Server{Handler: p.handler(id)}
	server := p.server
	p.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	p.w.putServer(id, plainEntry(p.address))
	return nil
}

func plainEntry(address string) server {
	return server{Service: "pedidos", Address: address, Zone: "zone-a", Version: "v1", Slots: 6, State: "ready", Sequence: 1,
		Born: time.Now().UnixMilli()}
}

// crash ends the lifetime: all channels break. The entry goes after three status report intervals of silence.
func (p *plainRunner) crash(id string) {
	p.mu.Lock()
	server := p.server
	p.mu.Unlock()
	_ = server.Close()
	p.w.note("%s crashes", id)
	time.AfterFunc(runnerAway, func() {
		if err := p.begin(); err != nil {
			p.w.note("runner %d can't come back: %v", p.number, err)
		}
	})
	time.AfterFunc(3600*time.Millisecond, func() { p.w.store.Put("keyed.servers", id, nil) })
}

func (p *plainRunner) handler(id string) http.HandlerFunc {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		request := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", request)
		if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.URL.Path != "/read/poison" {
			p.log.mu.Lock()
			p.log.runs[request]++
			p.log.mu.Unlock()
			time.Sleep(poisonWork)
			w.Header().Set("Response-Stamp", "stamp-"+request)
			_, _ = io.WriteString(w, "answer to "+request)
			return
		}
		now := time.Now()
		p.log.mu.Lock()
		if _, seen := p.log.arrivals[request]; !seen {
			p.log.arrivals[request] = now
		}
		p.log.mu.Unlock()
		p.w.note("poisonous attempt %s reaches %s", request, id)
		time.Sleep(poisonWork)
		once.Do(func() {
			p.log.mu.Lock()
			p.log.crashes = append(p.log.crashes, time.Now())
			p.log.mu.Unlock()
			p.crash(id)
		})
		panic(http.ErrAbortHandler)
	}
}

// playPoison sends one request that crashes each runner that begins to run it, again and again, beside sound requests.
func playPoison(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	log := &poisonLog{arrivals: map[string]time.Time{}, runs: map[string]int{}}
	for i := range 6 {
		p := &plainRunner{w: w, number: i + 1, log: log}
		if err := p.begin(); err != nil {
			return false, err
		}
	}
	if err := w.putConfig(poisonConfig()); err != nil {
		return false, err
	}
	if err := w.startEdges(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // until one of them leads
	var wg sync.WaitGroup
	var mu sync.Mutex
	sound := map[string]int{}
	lost := 0
	client := &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	if w.trouble {
		wg.Go(func() { w.poisonCaller(client) })
	}
	for n := 0; time.Since(w.start) < poisonTime; n++ {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0xb000000000+n)
			sent := time.Since(w.start)
			status := sendPlain(client, w.edges[n%len(w.edges)].front, "/order/x", id, fmt.Sprint(n))
			log.mu.Lock()
			ran := log.runs[id]
			log.mu.Unlock()
			w.note("order %s, sent at %.3f, was answered with %d; runs: %d", id, sent.Seconds(), status, ran)
			mu.Lock()
			defer mu.Unlock()
			sound[fmt.Sprint(status)]++
			if ran > 0 && status != http.StatusOK {
				lost++
			}
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	w.note("sound orders by status (0: no answer): %v; %d of them had begun at a runner that then crashed", sound, lost)
	return w.judgePoison(log)
}

// judgePoison counts the attempts that reached runners later than contact_ms after the third crash.
func (w *world) judgePoison(log *poisonLog) (bool, error) {
	log.mu.Lock()
	defer log.mu.Unlock()
	w.note("%d crashes, %d poisonous attempts reached runners", len(log.crashes), len(log.arrivals))
	if !w.trouble {
		return false, nil
	}
	if len(log.crashes) < 3 {
		return false, fmt.Errorf("only %d crashes", len(log.crashes))
	}
	late := 0
	for _, at := range log.arrivals {
		if at.Sub(log.crashes[2]) > contactTime {
			late++
		}
	}
	w.note("BUDGET: %d attempts reached runners later than %v after the third crash; %d are allowed", late, contactTime, allowedRetries)
	return late > allowedRetries, nil
}

// poisonCaller sends the request that crashes runners, each time with another Request-Id.
func (w *world) poisonCaller(client *http.Client) {
	n := 0
	for visit := 0; time.Since(w.start) < poisonTime; visit++ {
		for try := range 1 + poisonRepeats {
			n++
			id := fmt.Sprintf("%016x", 0xc000000000+n)
			status := sendPlain(client, w.edges[(visit+try)%len(w.edges)].front, "/read/poison", id, "the same")
			w.note("poisonous attempt %s answered with %d", id, status)
			if status == http.StatusServiceUnavailable {
				break // told to come back later
			}
		}
		time.Sleep(poisonEvery)
	}
}

func poisonConfig() map[string]any {
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

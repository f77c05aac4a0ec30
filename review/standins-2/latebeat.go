package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	lostAt     = 6 * time.Second         // the store loses answers from then on
	lostFor    = 4500 * time.Millisecond // "platform_lost, for_s 4.5"
	lateBy     = 6 * time.Second         // "late (done 1 to 6 s later)"
	lateBeatAt = lostAt + lostFor - 200*time.Millisecond
	// The runners leave when the store has been without disruption for longer than contact_ms.
	leaveAt      = lostAt + lostFor + contactTime + 100*time.Millisecond
	beatEvery    = 1200 * time.Millisecond // heartbeat_ms
	drainTime    = 2 * time.Second         // drain_ms
	servesOn     = 9 * time.Second         // after the ack of its leaving: "at times many seconds"
	lateBeatTime = 25 * time.Second
)

// beater is a runner of a plain service that reports itself to the store.
type beater struct {
	w       *world
	id      string
	address string
	removed bool // it never reports draining: its entry is removed

	mu       sync.Mutex
	sequence int64
	left     time.Time // of the store's ack that it leaves
	late     []string  // requests that came later than drain_ms after that
}

// entry is what the runner says of itself now.
func (b *beater) entry(state string) server {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return server{Service: "pedidos", Address: b.address, Zone: "zone-a", Version: "v1", Slots: 6, State: state, Sequence: b.sequence,
		Born: b.w.start.UnixMilli()}
}

func (b *beater) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != b.id {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	if since := time.Since(b.left); !b.left.IsZero() && since > drainTime {
		b.late = append(b.late, id)
		b.w.note("DRAIN: request %s reaches %s %.3f s after the ack that it leaves", id, b.id, since.Seconds())
	}
	b.mu.Unlock()
	time.Sleep(100 * time.Millisecond)
	w.Header().Set("Response-Stamp", "stamp-"+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// run reports the runner until it leaves, if it does.
func (b *beater) run(leaves bool) {
	next := time.Now()
	lateSent := false
	for time.Since(b.w.start) < leaveAt || !leaves {
		if time.Since(b.w.start) > lateBeatTime {
			return
		}
		b.w.putServer(b.id, b.entry("ready"))
		next = next.Add(beatEvery)
		if at := b.w.start.Add(lateBeatAt); leaves && !lateSent && next.After(at) {
			// One of the four reports during the disruption gets no answer, and the store executes it later. The next
			// report comes as ever, with a higher sequence.
			time.Sleep(time.Until(at))
			lateSent = true
			if b.w.trouble {
				report := b.entry("ready")
				b.w.note("report %d of %s gets no answer", report.Sequence, b.id)
				time.AfterFunc(lateBy, func() {
					b.w.note("the store executes report %d of %s: %s", report.Sequence, b.id, report.State)
					b.w.putServer(b.id, report)
				})
				if b.removed { // the entry goes after three status report intervals of silence
					time.AfterFunc(lateBy+3*beatEvery, func() { b.w.store.Put("keyed.servers", b.id, nil) })
				}
			}
		}
		time.Sleep(min(time.Until(next), time.Until(b.w.start.Add(leaveAt))))
		if !leaves {
			time.Sleep(time.Until(next))
		}
	}
	if b.removed {
		b.w.store.Put("keyed.servers", b.id, nil)
	} else {
		b.w.putServer(b.id, b.entry("draining"))
	}
	b.mu.Lock()
	b.left = time.Now()
	b.mu.Unlock()
	b.w.note("%s leaves (its entry is removed: %v): acked by the store", b.id, b.removed)
	for !b.removed && time.Since(b.left) < servesOn-beatEvery {
		time.Sleep(beatEvery)
		b.w.putServer(b.id, b.entry("draining"))
	}
}

// playLateBeat lets the store lose answers: one report of each of two runners is executed late, after the runner has said
// that it leaves. Nothing may be sent to them later than drain_ms after that.
func playLateBeat(w *world) (bool, error) {
	if err := w.startStore(); err != nil {
		return false, err
	}
	var runners []*beater
	for i := range 4 {
		b := &beater{w: w, id: fmt.Sprintf("i-plain-%d", i+1), removed: i == 1}
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return false, err
		}
		b.address = l.Addr().String()
		s := &http.Server{Handler: b}
		go func() { _ = s.Serve(l) }()
		runners = append(runners, b)
		go b.run(i < 2)
		if i < 2 {
			time.AfterFunc(leaveAt+servesOn, func() { _ = s.Close() })
		}
	}
	if err := w.putConfig(plainConfig()); err != nil {
		return false, err
	}
	if err := w.startEdges(2); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	client := &http.Client{Timeout: 3 * time.Second}
	for n := 0; time.Since(w.start) < lateBeatTime; n++ {
		wg.Go(func() {
			id, sent := fmt.Sprintf("%016x", 0xe000000000+n), time.Since(w.start)
			status := sendPlain(client, w.edges[n%len(w.edges)].front, "/order/x", id, fmt.Sprint(n))
			w.note("order %s, sent at %.3f, was answered with %d", id, sent.Seconds(), status)
			mu.Lock()
			defer mu.Unlock()
			counts[status]++
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	w.note("orders by status (0: no answer): %v", counts)
	if counts[http.StatusOK] < 500 {
		return false, fmt.Errorf("only %d orders were served", counts[http.StatusOK])
	}
	total := 0
	for _, b := range runners {
		b.mu.Lock()
		total += len(b.late)
		if !b.left.IsZero() {
			w.note("%d requests reached %s later than drain_ms after the ack that it leaves", len(b.late), b.id)
		}
		b.mu.Unlock()
	}
	return total > 0, nil
}

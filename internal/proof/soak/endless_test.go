package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
	"github.com/ragworthatch/ragworthatch/internal/fake/flood"
)

const (
	endlessCallers  = 300             // that wait or read at the same time, as in a burst
	endlessDuration = 2 * time.Second // of each kind of request
	memoryLimitMB   = 284             // of a process, as the smallest site of the operators grants it
	slowRead        = 1 << 10         // bytes that a slow caller reads at a time,
	slowReadGap     = 50 * time.Millisecond
)

// readSlowly sends a request and reads its answer slowly, until it ends.
func (e *entry) readSlowly(target, id string, header ...string) {
	conn, err := net.DialTimeout("tcp4", e.front, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.(*net.TCPConn).SetReadBuffer(slowRead)
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: svc.example\r\nRequest-Id: %s\r\nCredential: key-one\r\nDeadline-Ms: 3000\r\n"+
		"Content-Length: 0\r\n%s\r\n", target, id, strings.Join(header, ""))
	answer := bufio.NewReaderSize(conn, slowRead)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(slowReadGap) {
		_ = conn.SetReadDeadline(end)
		if _, err := io.CopyN(io.Discard, answer, slowRead); err != nil {
			return
		}
	}
}

// A process survives upstreams of all kinds that send bytes without end, to a burst of callers that read slowly.
func TestEndlessAnswersDoNotExhaustTheMemory(t *testing.T) {
	c := qt.New(t)
	env := newEnvironment(c, 1)
	s := &soak{env: env, c: c}
	s.waitReady(startLimit)
	e := env.entries[0]
	faulty := flood.New()
	var answerEndlessly override = func(_ *cloud.Upstream, w http.ResponseWriter, r *http.Request) bool {
		faulty.ServeHTTP(w, r)
		return true
	}
	for _, pools := range [][]string{{"plain"}, {"engines"}, {"first", "second"}} {
		for _, u := range env.services {
			u.override.Store(nil)
			for _, pool := range pools {
				if u.pool == pool {
					u.override.Store(&answerEndlessly)
				}
			}
		}
		before := faulty.Count()
		var callers sync.WaitGroup
		end := time.Now().Add(endlessDuration)
		for i := range endlessCallers {
			callers.Go(func() {
				for n := 0; time.Now().Before(end); n++ {
					id := fmt.Sprintf("%s-%d-%d", pools[0], i, n)
					switch {
					case pools[0] == "plain":
						e.readSlowly("/read/x", id)
					default:
						e.readSlowly("/gen/x", id, "Model: m\r\n", "Token-Counts: 100,10\r\n", "Prompt-Prefix: a:50,"+id+":50\r\n",
							"Pieces: 2,1\r\n", "Piece-Key: key\r\n")
					}
				}
			})
		}
		callers.Wait()
		c.Logf("%v: %d answers without end, peak %.0f MB", pools, faulty.Count()-before, e.PeakMemoryMB())
		c.Check(faulty.Count() > before, qt.IsTrue)
	}
	select {
	case <-e.Ended():
		c.Fatal("the process has ended")
	default:
	}
	peak := e.PeakMemoryMB()
	c.Check(peak > 0 && peak < memoryLimitMB, qt.IsTrue, qt.Commentf("peak %.0f MB", peak))
}

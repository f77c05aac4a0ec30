package lead_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/platform"
)

// stageWork is the time of a stage call; longer than the pause after a failed call, so that the next call meets an answer that
// is still to come.
const stageWork = 900 * time.Millisecond

// repeater is a stage upstream that writes each answer on some paths once more when the next request of the connection has
// come.
type repeater struct {
	echoes  bool     // the IDs of requests
	repeats []string // paths
	brief   bool     // the answer that is written once more has no results

	mu    sync.Mutex
	count int // results so far
}

func (u *repeater) listen(c *qt.C) (address string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (u *repeater) serve(conn net.Conn) {
	defer conn.Close()
	extra := ""
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, extra)
		text := u.answer(r, body)
		_, _ = io.WriteString(conn, text)
		extra = ""
		if slices.Contains(u.repeats, r.URL.Path) {
			extra = text
			if u.brief {
				extra = u.format(r, `{"items":[]}`)
			}
		}
	}
}

// answer returns the answer to a request. The results of a call are named after their requests.
func (u *repeater) answer(r *http.Request, body []byte) string {
	switch r.URL.Path {
	case platform.ReportPath:
		return u.format(r, `{"free_mb":18}`)
	case platform.StageFreePath:
		return u.format(r, "{}")
	}
	var call struct {
		Items []struct{ ID string }
	}
	_ = json.Unmarshal(body, &call)
	time.Sleep(stageWork)
	u.mu.Lock()
	defer u.mu.Unlock()
	var results []string
	for _, item := range call.Items {
		u.count++
		results = append(results, fmt.Sprintf(`{"handle":"%s/%d"}`, item.ID, u.count))
	}
	return u.format(r, `{"items":[`+strings.Join(results, ",")+`]}`)
}

func (u *repeater) format(r *http.Request, body string) string {
	id := ""
	if u.echoes {
		id = "Request-Id: " + r.Header.Get("Request-Id") + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// The extra answer to a release, a call or a report must not count as the answer to the next call: requests were run with
// the results of others (review/6).
func TestExtraAnswersBringNoResultsOfOthers(t *testing.T) {
	for _, test := range []struct {
		name     string
		headroom int64 // reports are only asked for with much of it
		u        *repeater
	}{
		{"of releases", 3e6, &repeater{repeats: []string{platform.StageFreePath}}},
		{"of releases and reports", 27e6, &repeater{repeats: []string{platform.StageFreePath, platform.ReportPath}}},
		{"of calls", 3e6, &repeater{repeats: []string{platform.StageRunPath}}},
		{"of calls, without results", 3e6, &repeater{repeats: []string{platform.StageRunPath}, brief: true}},
		{"of all, with IDs", 27e6, &repeater{echoes: true,
			repeats: []string{platform.StageFreePath, platform.StageRunPath, platform.ReportPath}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			l := startStages(t, test.u.listen(c), test.headroom, zap.NewNop())
			release := func(id string) {
				l.FirstByte(id, false)
				l.Ended(id, "e", false)
				time.Sleep(20 * time.Millisecond) // the connection of the release is kept by then
			}
			kept := "" // an order whose results are released after the next one is decided
			for i := range 4 {
				now, id := time.Now(), fmt.Sprint("order-", i)
				got := make(chan lead.Decision, 1)
				l.Submit(lead.Order{
					Job: sched.Job{ID: id, RequestID: id, Arrived: now, Target: now.Add(8 * time.Second), Deadline: now.Add(8 * time.Second),
						PieceKey: "key", Stages: []sched.Stage{{Pool: "p", Pieces: 2, ResultBytes: 100}}},
					Engine: place.Order{ID: id, Pool: "engines", PromptTokens: 100, OutputLimit: 10},
				}, func(d lead.Decision) {
					if !d.Pending {
						got <- d
					}
				})
				d := <-got
				c.Assert(d.Upstream, qt.Equals, "e", qt.Commentf("%s: %s", id, d.Refused))
				c.Check(d.Inputs, qt.HasLen, 2)
				for _, input := range d.Inputs {
					c.Check(strings.HasPrefix(input, id+"/"), qt.IsTrue, qt.Commentf("%s got %s", id, input))
				}
				if i%2 == 1 {
					kept = id
					continue
				}
				release(id)
				if kept != "" {
					release(kept)
				}
			}
		})
	}
}

package watch_test

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/wakeup"
	"github.com/ragworthatch/ragworthatch/internal/edge/watch"
	"github.com/ragworthatch/ragworthatch/platform"
)

// listScene is the state of one case of testdata/late.txt or testdata/outage.txt.
type listScene struct {
	*qt.C
	store    *memStore
	started  time.Time
	watchers map[string]*watch.Watcher
	running  sync.WaitGroup
}

// TestLateReportsBringNoUpstreamBack plays the cases of testdata/late.txt. Requests went to upstreams that had left, as the
// store executed an earlier report of them seconds later (review/9).
func TestLateReportsBringNoUpstreamBack(t *testing.T) { playList(t, "testdata/late.txt") }

// TestUpstreamsThatLeftInAnOutageAreDropped plays the cases of testdata/outage.txt. A host that had been cut off sent requests to
// upstreams that had left, as it took its own outage for one of the store (review/8).
func TestUpstreamsThatLeftInAnOutageAreDropped(t *testing.T) { playList(t, "testdata/outage.txt") }

// playList plays the cases of a file.
func playList(t *testing.T, path string) {
	text, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	for _, section := range strings.Split(string(text), "\n[")[1:] {
		name, steps, _ := strings.Cut(section, "]\n")
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				s := &listScene{C: qt.New(t), store: &memStore{logs: map[platform.Topic][]platform.Record{}},
					started: time.Now(), watchers: map[string]*watch.Watcher{}}
				s.store.put(platform.TopicRules, platform.RulesKey, `{"version":5,"services":[{"name":"p"}]}`)
				for step := range strings.Lines(steps) {
					if fields := strings.Fields(step); len(fields) > 0 {
						s.play(ctx, fields)
						synctest.Wait()
					}
				}
				stop()
				s.running.Wait()
			})
		})
	}
}

// seconds parses a number of seconds.
func (s *listScene) seconds(text string) time.Duration {
	n, err := strconv.Atoi(text)
	s.Assert(err, qt.IsNil)
	return time.Duration(n) * time.Second
}

// play carries out one step of a case.
func (s *listScene) play(ctx context.Context, step []string) {
	switch step[0] {
	case "put":
		pool, state := "p", step[2]
		if state == "odd" {
			pool, state = "odd", "ready"
		}
		s.store.put(platform.TopicUpstreams, step[1], fmt.Sprintf(
			`{"service":%q,"address":"10.0.0.1:80","zone":"z","version":"v1","slots":1,"state":%q,"born":%d,"sequence":%s}`,
			pool, state, s.started.Add(s.seconds(step[3])).UnixMilli(), step[4]))
	case "remove":
		s.store.put(platform.TopicUpstreams, step[1], "")
	case "start":
		w := watch.New(watch.Options{
			Store: s.store, Answered: wakeup.New(), DrainWithin: func() time.Duration { return drainWithin },
			RulesWithin:    func() time.Duration { return rulesWithin },
			ReportInterval: func() time.Duration { return time.Second },
			EvacuateWithin: func() time.Duration { return 5 * time.Second },
			AwaitsLeader:   func() bool { return false }, IsLeaving: s.store.isLeaving, Now: time.Now, Log: zap.NewNop(),
			Stats: testStats(s.TB.(*testing.T)),
		})
		s.watchers[step[1]] = w
		s.running.Go(func() { w.Run(ctx) })
	case "down":
		s.store.setState(true, 0)
	case "up":
		first, err := strconv.ParseInt(step[1], 10, 64)
		s.Assert(err, qt.IsNil)
		s.store.setState(false, first)
	case "back":
		n, err := strconv.Atoi(step[1])
		s.Assert(err, qt.IsNil)
		s.store.put(platform.TopicUpstreams, "extra", "")
		time.Sleep(drainWithin)
		s.store.mu.Lock()
		s.store.logs[platform.TopicUpstreams] = s.store.logs[platform.TopicUpstreams][:n]
		s.store.mu.Unlock()
	case "wait":
		time.Sleep(s.seconds(step[1]))
	case "ready":
		var got []string
		for _, u := range s.watchers[step[1]].Hosts().Ready("p") {
			id := u.ID
			if at := time.UnixMilli(u.StartedMs).Sub(s.started); at > 0 {
				id += fmt.Sprintf("@%d", int(at.Seconds()))
			}
			got = append(got, id)
		}
		s.Check(strings.Join(got, " "), qt.Equals, strings.Join(step[2:], " "), qt.Commentf("%v at %v", step, time.Since(s.started)))
	default:
		s.Fatalf("unknown step %v", step)
	}
}

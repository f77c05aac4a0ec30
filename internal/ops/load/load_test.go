package load_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
	"github.com/ragworthatch/ragworthatch/internal/ops/load"
)

// slowCaller answers each request after a second, however many are in flight. Each tenth is refused.
type slowCaller struct {
	mu       sync.Mutex
	requests []caller.Request
}

func (s *slowCaller) Call(_ context.Context, _ string, r caller.Request) caller.Answer {
	s.mu.Lock()
	s.requests = append(s.requests, r)
	n := len(s.requests)
	s.mu.Unlock()
	time.Sleep(time.Second)
	if n%10 == 0 {
		return caller.Answer{Ended: true, Verdict: fault.NotRun, Code: fault.Overloaded, Err: errors.New("refused")}
	}
	return caller.Answer{Ended: true, Whole: true}
}

// runLoad runs a generator against a slowCaller and returns the report and the requests that were sent.
func runLoad(c *qt.C, o load.Options) (load.Report, []caller.Request) {
	s := &slowCaller{}
	l, err := load.New(o, s)
	c.Assert(err, qt.IsNil)
	return l.Run(context.Background()), s.requests
}

func TestOpenLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		mix, err := load.ParseMix("slow=3@500ms,fine=1@2s!")
		c.Assert(err, qt.IsNil)
		o := load.Options{Entries: []string{"a", "b"}, Rate: 200, Duration: 10 * time.Second, Mix: mix, Seed: 7}
		r, sent := runLoad(c, o)
		// The rate does not depend on the answers.
		c.Assert(r.Total.Requests > 1800 && r.Total.Requests < 2200, qt.IsTrue, qt.Commentf("%d requests", r.Total.Requests))
		c.Assert(r.Total.Failed["overloaded"], qt.Equals, r.Total.Requests/10)
		fine, slow := r.ByPipeline[0], r.ByPipeline[1]
		c.Assert(fine.Late, qt.Equals, 0)
		c.Assert(slow.Attained, qt.Equals, 0)
		c.Assert(slow.Late+slow.Failed["overloaded"], qt.Equals, slow.Requests)
		c.Assert(fine.Latency.P50 >= 1000 && fine.Latency.P50 < 1002, qt.IsTrue, qt.Commentf("%v", fine.Latency))
		for _, s := range sent {
			c.Assert(s.Key != "", qt.Equals, s.Pipeline == "fine")
		}
		again, _ := runLoad(c, o)
		c.Assert(again, qt.DeepEquals, r)
		c.Assert(strings.Contains(r.String(), "overloaded="), qt.IsTrue)
	})
}

func TestBadOptions(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"", "a", "a=0", "a=x", "a=1@x", "a=1@0s", "=1", "a=1,"} {
		_, err := load.ParseMix(text)
		c.Assert(err, qt.ErrorMatches, "mix part .*", qt.Commentf("mix %q", text))
	}
	good := load.Options{Entries: []string{"a"}, Rate: 1, Duration: 1, Mix: load.Mix{{Pipeline: "a", Weight: 1}}}
	for _, spoil := range []func(*load.Options){
		func(o *load.Options) { o.Entries = nil },
		func(o *load.Options) { o.Rate = 0 },
		func(o *load.Options) { o.Duration = -1 },
		func(o *load.Options) { o.Mix = nil },
	} {
		o := good
		spoil(&o)
		_, err := load.New(o, nil)
		c.Assert(err, qt.IsNotNil)
	}
	_, err := load.New(good, nil)
	c.Assert(err, qt.IsNil)
}

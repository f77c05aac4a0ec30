package node_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const (
	limitWindow     = 4 * time.Second
	limitNotice     = 1 * time.Second // after an upstream first named its limit
	namedLimit      = 2.0             // requests per second
	callerPause     = 10 * time.Millisecond
	callersPerEntry = 8
	upstreamWork    = 20 * time.Millisecond
)

// mostAllowed is the greatest number of requests in a window to an upstream that names namedLimit: one and a half times
// what it named, and 5.
const mostAllowed = int(1.5*namedLimit*4) + 5

// limitedPool is a pool with some upstreams that name a limit while limited is set.
type limitedPool struct {
	*testbed
	limited atomic.Bool
	target  string
	served  atomic.Int64
	refused atomic.Int64
	other   atomic.Int64
}

// startLimited starts entries, and upstreams of a pool of which the first few name a limit.
func startLimited(t *testing.T, pool, target string, entries, limited, others int) *limitedPool {
	p := &limitedPool{testbed: newTestbed(t), target: target}
	p.limited.Store(true)
	p.configure()
	events := 0
	if pool == "engines" {
		events = 2
	}
	for i := range limited {
		p.startUpstream(pool, &cloud.Upstream{ID: fmt.Sprintf("limited-%d", i), Events: events, Work: upstreamWork,
			Intercept: func(w http.ResponseWriter, _ *http.Request, _ int) bool {
				if p.limited.Load() {
					w.Header().Set("Server-Limit", strconv.FormatFloat(namedLimit, 'f', -1, 64))
				}
				return false
			}})
	}
	for i := range others {
		p.startUpstream(pool, &cloud.Upstream{ID: fmt.Sprintf("other-%d", i), Events: events, Work: upstreamWork})
	}
	for i := range entries {
		p.startEntry(fmt.Sprintf("entry-%d", i))
	}
	for i, e := range p.entries {
		p.waitReady(e, http.StatusOK)
		p.eventually(func() bool { return p.send(e, fmt.Sprintf("warm-%d", i)).status == http.StatusOK })
	}
	time.Sleep(time.Second) // until all entries follow one leader
	return p
}

func (p *limitedPool) send(e *entry, id string) answer {
	return p.do(e, http.MethodPost, p.target, id, "body", "Model", "m", "Token-Counts", "100,10", "Prompt-Prefix",
		"sys:50,own-"+id+":50")
}

// load sends requests to the given entries for a time, from callersPerEntry callers each.
func (p *limitedPool) load(name string, d time.Duration, entries ...*entry) {
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for i := range callersPerEntry * len(entries) {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				switch got := p.send(entries[i%len(entries)], fmt.Sprintf("%s-%d-%d", name, i, n)); {
				case got.status == http.StatusOK:
					p.served.Add(1)
				case got.status == http.StatusServiceUnavailable && got.header.Get("Retry-After") != "":
					p.refused.Add(1)
				default:
					p.other.Add(1)
				}
				time.Sleep(callerPause)
			}
		})
	}
	wg.Wait()
}

// most returns the greatest number of requests that an upstream got in a window that begins after from.
func (p *limitedPool) most(id string, from time.Time) int {
	most := 0
	arrivals := p.upstreams[id].Arrivals()
	for i, a := range arrivals {
		if a.At.Before(from) {
			continue
		}
		n := 0
		for n = i; n < len(arrivals) && arrivals[n].At.Sub(a.At) < limitWindow; n++ {
		}
		most = max(most, n-i)
	}
	return most
}

// checkLimits checks that each limited upstream got no more than it allows, and about what it allows.
func (p *limitedPool) checkLimits(limited int, from time.Time) {
	for i := range limited {
		most := p.most(fmt.Sprintf("limited-%d", i), from)
		p.c.Check(most <= mostAllowed, qt.IsTrue, qt.Commentf("%d requests in %v to limited-%d", most, limitWindow, i))
		p.c.Check(most >= int(namedLimit), qt.IsTrue, qt.Commentf("%d requests in %v to limited-%d", most, limitWindow, i))
	}
	p.c.Check(p.other.Load(), qt.Equals, int64(0))
}

// Entries together send an upstream no more than the limit that it names, and others take the rest.
func TestUpstreamsGetNoMoreThanTheLimitThatTheyName(t *testing.T) {
	for _, test := range []struct{ pool, target string }{{"engines", "/once/x"}, {"plain", "/act/x"}} {
		t.Run(test.pool, func(t *testing.T) {
			t.Parallel()
			p := startLimited(t, test.pool, test.target, 3, 1, 2)
			from := time.Now().Add(limitNotice)
			p.load("a", limitNotice+5*time.Second, p.entries...)
			p.checkLimits(1, from)
			p.c.Check(p.refused.Load(), qt.Equals, int64(0), qt.Commentf("the others take the work"))
		})
	}
}

// When all upstreams of a pool name limits, their sum is served and the rest is refused at once.
func TestRequestsBeyondAllLimitsAreRefused(t *testing.T) {
	for _, test := range []struct{ pool, target string }{{"engines", "/once/x"}, {"plain", "/act/x"}} {
		t.Run(test.pool, func(t *testing.T) {
			t.Parallel()
			p := startLimited(t, test.pool, test.target, 2, 3, 0)
			from := time.Now().Add(limitNotice)
			p.load("a", limitNotice+5*time.Second, p.entries...)
			p.checkLimits(3, from)
			p.c.Check(p.refused.Load() > 0, qt.IsTrue)
			p.c.Check(p.served.Load() >= int64(3*namedLimit*4), qt.IsTrue, qt.Commentf("%d served", p.served.Load()))
		})
	}
}

// A limit holds across a change of the leader, which does not begin anew.
func TestLimitsOutliveTheLeader(t *testing.T) {
	for _, test := range []struct{ pool, target string }{{"engines", "/once/x"}, {"plain", "/act/x"}} {
		t.Run(test.pool, func(t *testing.T) {
			t.Parallel()
			p := startLimited(t, test.pool, test.target, 3, 1, 2)
			from := time.Now().Add(limitNotice)
			p.load("a", limitNotice+2*time.Second, p.entries...)
			p.entries[0].kill() // the oldest entry leads
			p.load("b", 5*time.Second, p.entries[1:]...)
			p.checkLimits(1, from)
		})
	}
}

// An upstream that names no limit any more gets as many requests as others.
func TestLimitsEndWithAnAnswerThatNamesNone(t *testing.T) {
	for _, test := range []struct{ pool, target string }{{"engines", "/once/x"}, {"plain", "/act/x"}} {
		t.Run(test.pool, func(t *testing.T) {
			t.Parallel()
			p := startLimited(t, test.pool, test.target, 2, 2, 0)
			p.load("a", 2*time.Second, p.entries...)
			p.limited.Store(false)
			p.load("b", 1500*time.Millisecond, p.entries...) // until an answer without a limit is heard of
			refused := p.refused.Load()
			p.load("c", time.Second, p.entries...)
			p.c.Check(p.refused.Load(), qt.Equals, refused)
			p.c.Check(p.other.Load(), qt.Equals, int64(0))
		})
	}
}

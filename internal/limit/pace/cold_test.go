package pace_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
)

const (
	coldRate      = 9.6 // requests per second
	coldOvershoot = 1.5
	coldSlack     = 5.0
	tick          = 5 * time.Millisecond
)

// coldFleet is a number of entries in groups, each of which has a leader that counts the requests of the group to one cold
// upstream.
type coldFleet struct {
	now    time.Time
	size   int
	groups []int // sizes; the entries left over have no leader but themselves
	lead   []*pace.Limiter[string]
	share  []float64
	sent   []time.Time
}

func newColdFleet(size int, groups ...int) *coldFleet {
	f := &coldFleet{now: time.Unix(1000, 0), size: size, groups: groups}
	rest := size
	for _, g := range groups {
		rest -= g
	}
	for range rest {
		f.groups = append(f.groups, 1)
	}
	for i, g := range f.groups {
		f.share = append(f.share, pace.Part(g, size))
		l := pace.New[string](pace.Options{Share: func() float64 { return 1 }, Now: func() time.Time { return f.now }})
		l.LimitCold(pace.Cold[string]{
			Rate:  func(string) (float64, bool) { return coldRate, true },
			Share: func() float64 { return f.share[i] },
			Bound: func() (float64, float64) { return coldOvershoot, coldSlack },
		})
		f.lead = append(f.lead, l)
	}
	return f
}

// run has every group send all that it may for a time.
func (f *coldFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, l := range f.lead {
			for l.Take("u") == 0 {
				f.sent = append(f.sent, f.now)
			}
		}
	}
}

// idle lets time pass without requests, except that each group looks whether it could send, so that unused requests add
// up.
func (f *coldFleet) idle(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(20 * tick) {
		for _, l := range f.lead {
			l.Wait("u")
		}
	}
}

// most returns the greatest number of requests in a second.
func (f *coldFleet) most() int {
	most := 0
	for i, at := range f.sent {
		end, _ := slices.BinarySearchFunc(f.sent, at.Add(time.Second), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// A cold upstream crashes above its bound, which holds over all entries, whether they follow a leader or decide alone,
// also when the leader changes.
func TestColdUpstreamsAreSpared(t *testing.T) {
	for _, test := range []struct {
		size   int
		groups []int
		least  float64 // requests per second that are sent at least
	}{
		{1, []int{1}, 0.95 * coldRate},
		{24, []int{24}, 0.95 * coldRate},
		{24, []int{16, 8}, 0.95 * coldRate},
		{24, []int{13}, 0.95 * coldRate},
		{24, []int{8, 8, 8}, 0.9 * coldRate},
		{24, nil, 0},
		{358, []int{358}, 0.95 * coldRate},
		{358, []int{180, 178}, 0.95 * coldRate},
		{358, []int{180}, 0.95 * coldRate},
		{358, nil, 0},
	} {
		t.Run(fmt.Sprint(test.size, test.groups), func(t *testing.T) {
			c := qt.New(t)
			f := newColdFleet(test.size, test.groups...)
			f.idle(time.Minute)
			f.run(20 * time.Second)
			c.Check(float64(len(f.sent)) >= 20*test.least, qt.IsTrue, qt.Commentf("%d in 20 s", len(f.sent)))
			if len(f.groups) > 1 { // a follower of the first group takes its place, and both lead for a while
				f.idle(time.Second)
				f.share[1] = pace.Part(f.groups[0], f.size)
				f.run(950 * time.Millisecond)
				f.share[0] = 0
				f.run(5 * time.Second)
			}
			c.Check(float64(f.most()) <= coldOvershoot*coldRate+coldSlack, qt.IsTrue, qt.Commentf("%d in a second", f.most()))
		})
	}
}

// Requests that another entry knows to go to a cold upstream are counted, also if this one does not know that it is cold.
func TestColdUpstreamsThatAnotherEntryKnowsAreSpared(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	l := pace.New[string](pace.Options{Share: func() float64 { return 1 }, Now: func() time.Time { return now }})
	l.LimitCold(pace.Cold[string]{Rate: func(string) (float64, bool) { return 0, false },
		Share: func() float64 { return 1 }, Bound: func() (float64, float64) { return coldOvershoot, coldSlack }})
	sent := 0
	for range 10 * 200 {
		if l.TakeCold("u", coldRate) == 0 {
			sent++
		}
		now = now.Add(tick)
	}
	c.Check(float64(sent) > 8*coldRate && float64(sent) <= 10*coldRate, qt.IsTrue, qt.Commentf("%d", sent))
	c.Check(l.Take("u"), qt.Equals, time.Duration(0), qt.Commentf("an upstream that nobody takes to be cold has no limit"))
	c.Check(l.IsLimited("u"), qt.IsFalse)
}

// Guards against two leaders that both use a whole limit: a former leader that follows another entry for a while, and leads
// again while that one has not noticed, must wait although no request asked for a cold upstream meanwhile.
func TestAShareThatShrankUnnoticedGrowsWithADelay(t *testing.T) {
	c := qt.New(t)
	f := newColdFleet(24, 13, 11)
	f.share[0], f.share[1] = 1, 0
	f.run(3 * time.Second)
	f.share[0], f.share[1] = 0, 1
	f.lead[0].ObserveShare()
	for end := f.now.Add(4 * time.Second); f.now.Before(end); f.now = f.now.Add(tick) {
		for f.lead[1].Take("u") == 0 {
			f.sent = append(f.sent, f.now)
		}
	}
	f.share[0] = 1 // the other group has not noticed yet
	f.run(900 * time.Millisecond)
	most := 0
	for i, at := range f.sent {
		n := 0
		for _, later := range f.sent[i:] {
			if later.Sub(at) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	c.Check(float64(most) <= coldRate*coldOvershoot+coldSlack, qt.IsTrue, qt.Commentf("%d requests in a second", most))
}

package shed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/shed"
)

const sample = 50 * time.Millisecond

// host is a policy in virtual time.
type host struct {
	*shed.Policy
	now   time.Time
	leads bool
}

func newHost() *host {
	h := &host{now: time.Unix(1000, 0)}
	h.Policy = shed.New(shed.Options{Leads: func() bool { return h.leads }, Random: rand.New(rand.NewPCG(1, 1)).Float64,
		Now: func() time.Time { return h.now }})
	return h
}

// run passes a second in which the process waits for the processor as given.
func (h *host) run(wait time.Duration) {
	for range 20 {
		h.now = h.now.Add(sample)
		h.ObserveWait(wait)
	}
	h.ObserveUsage(1, shed.Usage{}, shed.Usage{})
}

// refused returns the part of 1,000 requests that is refused.
func (h *host) refused(rank int, target time.Duration) float64 {
	n := 0
	for range 1000 {
		if short, _ := h.Refuse(rank, target); short != shed.None {
			n++
		}
	}
	return float64(n) / 1000
}

// Without a shortage nothing is refused; with one, what would come too late is, the least urgent first.
func TestRequestsThatWouldBeLateAreRefused(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	c.Check(h.refused(2, 120*time.Millisecond), qt.Equals, 0.0)
	h.run(2 * time.Millisecond)
	c.Check(h.refused(2, 120*time.Millisecond), qt.Equals, 0.0)
	h.run(150 * time.Millisecond)
	c.Check(h.refused(2, 300*time.Millisecond) > 0.85, qt.IsTrue)
	c.Check(h.refused(0, 1800*time.Millisecond), qt.Equals, 0.0)
	long, chat := h.refused(1, time.Second), h.refused(2, time.Second)
	c.Check(long > 0 && long < chat, qt.IsTrue, qt.Commentf("%v %v", long, chat))
	h.leads = true
	c.Check(h.refused(1, time.Second) > long, qt.IsTrue)
	h.leads = false
	h.ObserveUsage(0.3, shed.Usage{}, shed.Usage{}) // others keep the process waiting, so refusals would not help
	c.Check(h.refused(2, 300*time.Millisecond), qt.Equals, 0.0)
	h.run(0)
	h.run(0)
	c.Check(h.refused(2, 300*time.Millisecond), qt.Equals, 0.0)
}

// One stop of the process, however long, must not shed callers.
func TestOneStopOfTheProcessShedsNobody(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	h.run(0)
	h.ObserveUsage(1, shed.Usage{}, shed.Usage{})
	h.ObserveWait(5 * time.Second)
	c.Check(h.refused(2, 120*time.Millisecond), qt.Equals, 0.0)
}

// A process without descriptors can't open a connection to an upstream, and one without memory is killed.
func TestRequestsAreRefusedBeforeMemoryAndDescriptorsEnd(t *testing.T) {
	c := qt.New(t)
	h := newHost()
	for _, test := range []struct {
		memory, descriptors shed.Usage
		want                shed.Resource
	}{
		{shed.Usage{}, shed.Usage{}, shed.None},
		{shed.Usage{Used: 80, Limit: 100}, shed.Usage{Used: 2900, Limit: 3075}, shed.None},
		{shed.Usage{Used: 91, Limit: 100}, shed.Usage{Used: 10, Limit: 3075}, shed.Memory},
		{shed.Usage{Used: 1}, shed.Usage{Used: 3000, Limit: 3075}, shed.Descriptors},
	} {
		h.ObserveUsage(0, test.memory, test.descriptors)
		short, wait := h.Refuse(0, time.Second)
		c.Check(short, qt.Equals, test.want)
		c.Check(wait >= 300*time.Millisecond && wait <= time.Second, qt.Equals, short != shed.None)
	}
}

// Callers bring three times the work that a host of 0.109 of a core can do, half of it plain requests of 120 ms, in virtual
// time. Without refusals the queue grows without bound and nobody is served in time.
func TestASmallHostServesWhatItCan(t *testing.T) {
	c := qt.New(t)
	for _, on := range []bool{false, true} {
		h := newHost()
		const work, step, perStep = 60 * time.Millisecond, 20 * time.Millisecond, 1 // 3 times of what it can do
		h.ObserveUsage(1, shed.Usage{}, shed.Usage{})
		var queue time.Duration // of work that the process has accepted
		served, inTime, offered := 0, 0, 0
		for i := range 3000 {
			h.now = h.now.Add(step)
			queue = max(0, queue-step)
			if i%2 == 0 {
				h.ObserveWait(queue / 5) // a request waits five times for its part of the queue
			}
			for range perStep {
				target := []time.Duration{300 * time.Millisecond, 1800 * time.Millisecond}[i%2]
				offered++
				if short, _ := h.Refuse(1, target); on && short != shed.None {
					continue
				}
				queue += work
				served++
				if queue <= target {
					inTime++
				}
			}
		}
		c.Logf("refusals %v: of %d requests %d accepted, %d in time", on, offered, served, inTime)
		c.Check(float64(inTime) > 0.25*float64(offered), qt.Equals, on)
		c.Check(float64(inTime) > 0.8*float64(served), qt.Equals, on)
	}
}

package crash_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
)

func TestTwoCrashesBlockAFingerprint(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := crash.New(func() time.Time { return now })
	c.Check(tracker.ObserveCrash(7, "a", now), qt.IsFalse)
	c.Check(tracker.BlockedFor(7), qt.Equals, time.Duration(0))
	c.Check(tracker.ObserveCrash(8, "a", now), qt.IsFalse,
		qt.Commentf("another request that was in flight at the same time"))
	now = now.Add(5 * time.Second)
	c.Check(tracker.ObserveCrash(7, "a", now), qt.IsFalse,
		qt.Commentf("the same lifetime of an upstream can't crash twice"))
	c.Check(tracker.ObserveCrash(7, "b", now), qt.IsTrue)
	c.Check(tracker.BlockedFor(7) > 0, qt.IsTrue)
	c.Check(tracker.BlockedFingerprints(), qt.DeepEquals, []uint64{7})
	other := crash.New(func() time.Time { return now })
	other.Block(tracker.BlockedFingerprints())
	c.Check(other.BlockedFor(7) > 0, qt.IsTrue)
	now = now.Add(time.Minute)
	c.Check(tracker.BlockedFor(7), qt.Equals, time.Duration(0))
	c.Check(tracker.BlockedFingerprints(), qt.HasLen, 0)
}

func TestRequestsThatBreakDownTogetherCountOnce(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := crash.New(func() time.Time { return now })
	sent := now.Add(-100 * time.Millisecond)
	for _, lifetime := range []string{"a", "a", "b", "c"} {
		c.Check(tracker.ObserveCrash(7, lifetime, sent), qt.IsFalse,
			qt.Commentf("three upstreams broke down under four requests at once"))
		now = now.Add(10 * time.Millisecond)
	}
	c.Check(tracker.ObserveCrash(7, "d", now.Add(-time.Millisecond)), qt.IsTrue)
}

func TestRequestsThatAreAnsweredAreNotToBlame(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := crash.New(func() time.Time { return now })
	c.Check(tracker.ObserveAnswer(7), qt.IsFalse)
	for _, lifetime := range []string{"a", "b", "c"} {
		c.Check(tracker.ObserveCrash(7, lifetime, now), qt.IsFalse, qt.Commentf("it was answered since the last crash"))
		now = now.Add(time.Second)
		c.Check(tracker.ObserveAnswer(7), qt.IsTrue)
	}
	tracker.ObserveCrash(7, "d", now)
	now = now.Add(time.Second)
	c.Check(tracker.ObserveCrash(7, "e", now), qt.IsTrue)
	c.Check(tracker.ObserveAnswer(7), qt.IsFalse, qt.Commentf("a blocked fingerprint stays blocked"))
	c.Check(tracker.BlockedFor(7) > 0, qt.IsTrue)
}

func TestCrashesFarApartDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := crash.New(func() time.Time { return now })
	tracker.ObserveCrash(7, "a", now)
	now = now.Add(2 * time.Minute)
	c.Check(tracker.ObserveCrash(7, "b", now), qt.IsFalse)
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tracker := crash.New(func() time.Time { return now })
	for i := range uint64(10000) {
		tracker.ObserveCrash(i, "a", now)
		tracker.ObserveCrash(i, "b", now.Add(time.Millisecond))
	}
	c.Check(len(tracker.BlockedFingerprints()) <= 64, qt.IsTrue)
}

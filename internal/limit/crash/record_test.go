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
	r := crash.New(func() time.Time { return now })
	c.Check(r.Crashed(7), qt.IsFalse)
	c.Check(r.Blocked(7), qt.Equals, time.Duration(0))
	c.Check(r.Crashed(8), qt.IsFalse, qt.Commentf("another request that was in flight at the same time"))
	now = now.Add(5 * time.Second)
	c.Check(r.Crashed(7), qt.IsTrue)
	c.Check(r.Blocked(7) > 0, qt.IsTrue)
	c.Check(r.Shared(), qt.DeepEquals, []uint64{7})
	other := crash.New(func() time.Time { return now })
	other.Block(r.Shared())
	c.Check(other.Blocked(7) > 0, qt.IsTrue)
	now = now.Add(time.Minute)
	c.Check(r.Blocked(7), qt.Equals, time.Duration(0))
	c.Check(r.Shared(), qt.HasLen, 0)
}

func TestCrashesFarApartDoNotAddUp(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := crash.New(func() time.Time { return now })
	r.Crashed(7)
	now = now.Add(2 * time.Minute)
	c.Check(r.Crashed(7), qt.IsFalse)
}

func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	r := crash.New(func() time.Time { return now })
	for i := range uint64(10000) {
		r.Crashed(i)
		r.Crashed(i)
	}
	c.Check(len(r.Shared()) <= 64, qt.IsTrue)
}

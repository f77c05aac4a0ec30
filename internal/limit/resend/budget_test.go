package resend_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/resend"
)

func TestRepeatsAreBoundedInEveryWindow(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	b := resend.New(10*time.Second, func() int { return 5 }, func() time.Time { return now })
	b.Set(0.2, 50)
	took := 0
	count := func(n int) {
		for range n {
			if b.TakeRepeat("pool") {
				took++
			}
		}
	}
	count(100)
	c.Check(took, qt.Equals, 10, qt.Commentf("a fifth of the slack without any request"))
	for range 50 {
		b.CountRequest("pool")
	}
	count(100)
	c.Check(took, qt.Equals, 20, qt.Commentf("and a fifth of the requests"))
	now = now.Add(9 * time.Second)
	count(100)
	c.Check(took, qt.Equals, 20, qt.Commentf("still the same window"))
	now = now.Add(2 * time.Second)
	count(100)
	c.Check(took, qt.Equals, 30, qt.Commentf("a new window, without requests"))
	c.Check(b.TakeRepeat("other"), qt.IsTrue)
}

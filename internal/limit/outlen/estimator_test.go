package outlen_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/outlen"
)

// Requests without a maximum must reserve what others of their route may need, and not nothing.
func TestLengthsAreLearnedByRoute(t *testing.T) {
	c := qt.New(t)
	e, now := outlen.New(), time.Unix(1000, 0)
	c.Check(e.Most("r", 0, 0), qt.Equals, 1024)
	for range 100 {
		e.Observe("r", 40, 300, now)
	}
	c.Check(e.Most("r", 0, 0), qt.Equals, 300)
	c.Check(e.Most("r", 0, 50), qt.Equals, 50, qt.Commentf("its own maximum holds"))
	c.Check(e.Expected("r", 0, 0), qt.Equals, 40)
	c.Check(e.Expected("r", 70, 50), qt.Equals, 50)
	c.Check(e.Expected("other", 0, 100), qt.Equals, 50)
	e.Sweep(now.Add(time.Hour))
	c.Check(e.Most("r", 0, 0), qt.Equals, 1024)
}

package front

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
)

// A stream that is taken up goes on within half of the time left, and twice the target of its route at most.
func TestTargetsOfStreamsTakenUp(t *testing.T) {
	arrived := time.Unix(1000, 0)
	for _, test := range []struct {
		takenUp   bool
		left, due time.Duration
	}{
		{false, 20 * time.Second, time.Second},
		{true, 20 * time.Second, 2 * time.Second},
		{true, 1200 * time.Millisecond, 600 * time.Millisecond},
	} {
		x := &exchange{
			Front: New(Options{}), arrived: arrived, deadline: arrived.Add(test.left), route: rule.Route{Target: time.Second},
			resumable: lead.Stream{TakenUp: test.takenUp},
		}
		qt.Check(t, x.order().Job.Target.Sub(arrived), qt.Equals, test.due)
	}
}

package front

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/origin"
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

func TestStreamsGoOnAtTheirVersionUnderALeaderThatKnowsNone(t *testing.T) {
	for _, test := range []struct {
		picked, listed, found, begunAt string
		takenUp, fits                  bool
	}{
		{picked: "v1", listed: "v1", fits: true},
		{picked: "v1", listed: "v2"}, // the lists of the leader and of the entry differ
		{listed: "v2", fits: true},   // begins
		{listed: "v2", begunAt: "v1"},
		{listed: "v2", takenUp: true, found: "v1"},
		{listed: "v1", takenUp: true, found: "v1", fits: true},
		{listed: "v1", takenUp: true},
		{picked: "v1", listed: "v1", takenUp: true, found: "v2", fits: true}, // the leader knows better
	} {
		x := &exchange{begunAt: test.begunAt, resumable: lead.Stream{TakenUp: test.takenUp,
			Found: origin.Found{Origin: origin.Origin{Version: test.found}}}}
		fits := x.fitsVersion(lead.Decision{Version: test.picked}, hosts.Upstream{Version: test.listed})
		qt.Check(t, fits, qt.Equals, test.fits, qt.Commentf("%+v", test))
	}
}

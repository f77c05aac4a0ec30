package lead_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/leader/lead"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
	"github.com/ragworthatch/ragworthatch/internal/leader/sched"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
)

// Guards against a request that hangs until its deadline because the decision on it was lost with a connection, and its
// entry submits the order again to the same leader.
func TestAnOrderThatIsSubmittedAgainIsDecidedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, _ := startCoordinator(t)
		now := time.Now()
		order := lead.Order{
			Job:    sched.Job{ID: "x", Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(6 * time.Second)},
			Engine: place.Order{ID: "x", Pool: "engines", PromptTokens: 100, OutputLimit: 10},
		}
		for range 2 {
			got := make(chan lead.Decision, 1)
			l.Submit(order, func(d lead.Decision) { got <- d })
			select {
			case d := <-got:
				c.Check(d.Upstream, qt.Equals, "e")
			case <-time.After(20 * time.Second):
				t.Error("no decision")
			}
		}
	})
}

// Guards against requests that are held until their deadline when engines lack memory for them and one has a limit.
func TestOrdersWithoutEngineMemoryAreNotHeldForALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, limits := startCoordinator(t)
		limits.Observe(pace.Statement[hosts.Lifetime]{Key: hosts.Lifetime{ID: "e"}, Limited: true, Rate: 50, At: time.Now()})
		start, got := time.Now(), make(chan lead.Decision, 3)
		for i := range 3 {
			id := fmt.Sprint(i)
			l.Submit(lead.Order{
				Job:    sched.Job{ID: id, Arrived: start, Target: start.Add(time.Second), Deadline: start.Add(30 * time.Second)},
				Engine: place.Order{ID: id, Pool: "engines", PromptTokens: 200_000, OutputLimit: 10, Target: time.Second},
			}, func(d lead.Decision) { got <- d })
		}
		refused := 0
		for range 3 {
			if d := <-got; d.Refused != "" {
				refused++
			}
			c.Check(time.Since(start) <= 2*time.Second, qt.IsTrue, qt.Commentf("decided after %v", time.Since(start)))
		}
		c.Check(refused, qt.Equals, 2)
	})
}

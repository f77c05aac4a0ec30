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

// Twenty orders come at once for one engine that names 2 requests a second and have 3 s: those that fit wait for their
// turn, the others are refused at once.
func TestOrdersWaitForALimitedEngineOrAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, limits := startCoordinator(t)
		start := time.Now()
		limits.Observe(pace.Statement[hosts.Lifetime]{Key: hosts.Lifetime{ID: "e"}, Limited: true, Rate: 2, At: start})
		const orders, within = 20, 3 * time.Second
		type result struct {
			lead.Decision
			at time.Duration
		}
		results := make(chan result, orders)
		for i := range orders {
			id := fmt.Sprint(i)
			l.Submit(lead.Order{
				Job:    sched.Job{ID: id, Arrived: start, Target: start.Add(within), Deadline: start.Add(2 * within)},
				Engine: place.Order{ID: id, Pool: "engines", PromptTokens: 100, OutputLimit: 10},
			}, func(d lead.Decision) { results <- result{d, time.Since(start)} })
		}
		served, refused := 0, 0
		for range orders {
			switch r := <-results; r.Refused {
			case "":
				served++
				c.Check(r.at <= within+100*time.Millisecond, qt.IsTrue, qt.Commentf("served after %v", r.at))
			case sched.Limited:
				refused++
				c.Check(r.at < 100*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %v", r.at))
				c.Check(r.RetryAfter >= time.Second, qt.IsTrue)
			}
		}
		c.Check(served, qt.Equals, 6)
		c.Check(refused, qt.Equals, orders-served)
	})
}

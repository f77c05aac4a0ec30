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

// Forty long prompts come at once for an engine that reads ten of them before their target. Where another route has
// another rank, those that can't begin in time are refused at once; with one route, all are sent as before.
func TestLongPromptsThatCannotBeginInTimeAreRefusedAtOnce(t *testing.T) {
	for _, routes := range []int{1, 2} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			l, _ := startCoordinator(t)
			submit := func(id, route string, rank, tokens int) lead.Decision {
				now, got := time.Now(), make(chan lead.Decision, 1)
				l.Submit(lead.Order{
					Job: sched.Job{ID: id, Rank: rank, Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(6 * time.Second)},
					Engine: place.Order{ID: id, Pool: "engines", PromptTokens: tokens, OutputLimit: 10, Route: route, Rank: rank,
						Target: time.Second},
				}, func(d lead.Decision) { got <- d })
				return <-got
			}
			if routes == 2 {
				c.Check(submit("chat", "chat", 2, 100).Refused, qt.Equals, sched.Reason(""))
			}
			refused := 0
			for i := range 40 {
				if d := submit(fmt.Sprint(i), "long", 1, 4500); d.Refused != "" {
					c.Check(d.Refused, qt.Equals, lead.Crowded)
					c.Check(d.RetryAfter >= time.Second, qt.IsTrue)
					refused++
				}
			}
			c.Check(refused, qt.Equals, (routes-1)*32)
		})
	}
}

// Guards against refusals of all requests as crowded as soon as one engine, such as one that is cold, has a limit.
func TestALimitOfAnEngineDoesNotMakeItCrowded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l, limits := startCoordinator(t)
		limits.Observe(pace.Statement[hosts.Lifetime]{Key: hosts.Lifetime{ID: "e"}, Limited: true, Rate: 50, At: time.Now()})
		for i := range 4 {
			id, now, got := fmt.Sprint(i), time.Now(), make(chan lead.Decision, 1)
			l.Submit(lead.Order{
				Job: sched.Job{ID: id, Rank: i % 2, Arrived: now, Target: now.Add(time.Second), Deadline: now.Add(6 * time.Second)},
				Engine: place.Order{ID: id, Pool: "engines", PromptTokens: 100, OutputLimit: 10, Route: fmt.Sprint(i % 2), Rank: i % 2,
					Target: time.Second},
			}, func(d lead.Decision) { got <- d })
			c.Check((<-got).Refused, qt.Equals, sched.Reason(""))
		}
	})
}

package soak_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	retryRatio     = 0.2 // bounds.budget_ratio of the settings
	retrySlack     = 56  // bounds.budget_slack
	retryWindow    = 10 * time.Second
	maxProblems    = 20
	versions       = 2    // of the upstreams' software, side by side
	minServedRatio = 0.99 // of the requests, after recovery
)

// check compares what callers received with what upstreams ran.
func (s *soak) check(t *traffic, outcomes []outcome) {
	ran := map[string]int{}
	for _, v := range s.env.services {
		for _, u := range v.allLifetimes() {
			for id, n := range u.RunCounts() {
				ran[id] += n
			}
		}
	}
	statuses := map[string]int{}
	for _, o := range outcomes {
		statuses[fmt.Sprintf("%s %d whole=%t", o.kind, o.status, o.err == nil)]++
		s.checkOne(o, ran[o.id])
	}
	for _, name := range slices.Sorted(maps.Keys(statuses)) {
		s.c.Logf("%s: %d", name, statuses[name])
	}
	for _, b := range t.regressions {
		s.problem("%s", b)
	}
	s.checkDrains()
	s.checkEvacuations()
	s.checkVersions()
	s.checkInputs()
	s.checkRetryBudget(outcomes)
}

// checkInputs checks that no piece of a later stage was asked for without inputs, or with one that has no handle.
func (s *soak) checkInputs() {
	for _, v := range s.env.services {
		if v.pool != "second" {
			continue
		}
		for _, u := range v.allLifetimes() {
			for _, a := range u.Arrivals() {
				var call struct {
					Items []struct {
						ID     string   `json:"id"`
						Inputs []string `json:"inputs"`
					} `json:"items"`
				}
				if json.Unmarshal([]byte(a.Body), &call) != nil {
					continue
				}
				for _, it := range call.Items {
					if len(it.Inputs) == 0 || slices.Contains(it.Inputs, "") {
						s.problem("a piece of %s was asked for at %s with inputs %q", it.ID, u.ID, it.Inputs)
					}
				}
			}
		}
	}
}

// checkVersions checks that streams went on only at the version that began them, which is that of the last engine that got
// them without an event.
func (s *soak) checkVersions() {
	type start struct {
		at      time.Time
		version string
	}
	starts := map[string]start{} // by ID of the request
	for _, goesOn := range []bool{false, true} {
		for _, v := range s.env.services {
			if v.pool != "engines" {
				continue
			}
			for _, u := range v.allLifetimes() {
				for _, a := range u.Arrivals() {
					id := a.Header.Get("Request-Id")
					began := starts[id]
					switch {
					case (a.Header.Get("Last-Event-Id") != "") != goesOn:
					case !goesOn && a.At.After(began.at):
						starts[id] = start{a.At, u.Version}
					case goesOn && u.Version != began.version:
						s.problem("stream %s began at %s and went on at %s of %s", id, began.version, u.ID, u.Version)
					}
				}
			}
		}
	}
}

// checkOne checks the answer to one request, given how often it ran.
func (s *soak) checkOne(o outcome, ran int) {
	disturbed := o.entry.wasDown(o.began, o.ended)
	label := fmt.Sprintf("%s at %s: status %d, ran %d times, error %v", o.id, o.entry.name, o.status, ran, o.err)
	if (o.kind == "act" || o.kind == "once") && ran > 1 {
		s.problem("not repeatable, but ran more than once: %s", label)
	}
	if took := o.ended.Sub(o.began); took > maxAnswerTime && !disturbed {
		s.problem("held for %v: %s", took, label)
	}
	switch {
	case o.status == http.StatusOK && o.err == nil && o.body != expected(o):
		s.problem("wrong answer %.60q: %s", o.body, label)
	case o.status == http.StatusOK && o.err != nil && !strings.HasPrefix(expected(o), o.body):
		s.problem("wrong beginning of an answer %.60q: %s", o.body, label)
	case o.status == http.StatusServiceUnavailable && ran > 0:
		s.problem("refused, but it ran: %s", label)
	case o.status == http.StatusServiceUnavailable && o.header.Get("Retry-After") == "":
		s.problem("refused without Retry-After to the caller: %s", label)
	case o.status == 0 && !disturbed:
		s.problem("no answer: %s", label)
	case !slices.Contains([]int{0, 200, 502, 503, 504}, o.status):
		s.problem("unexpected status: %s", label)
	}
}

// expected returns the complete body of the answer to a request. The body of a plain service names the upstream.
func expected(o outcome) string {
	if o.kind == "read" || o.kind == "act" {
		return fmt.Sprintf("answer of %s to %s", strings.TrimPrefix(o.header.Get("Response-Stamp"), "stamp-"), o.id)
	}
	var b strings.Builder
	for i := 1; i <= tokens; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// checkDrains checks that upstreams got no more requests drainBound after they were listed as draining, unless the
// store was disturbed.
func (s *soak) checkDrains() {
	for _, d := range s.drained {
		for _, a := range d.up.Arrivals() {
			late := a.At.Sub(d.at)
			if late <= drainBound || s.storeWasDisturbed(d.at.Add(-maxFaultDuration), a.At) {
				continue
			}
			s.problem("%s got %s %v after it was listed as leaving", d.up.ID, a.Target, late)
		}
	}
}

func (s *soak) storeWasDisturbed(from, to time.Time) bool {
	return slices.ContainsFunc(s.storeDisturbances, func(sp span) bool { return sp.overlaps(from, to) })
}

// checkRetryBudget checks that the retries in each pool that serves callers stay within the budget in every window.
func (s *soak) checkRetryBudget(outcomes []outcome) {
	requests := map[string][]time.Time{}
	for _, o := range outcomes {
		pool := "plain"
		if o.kind == "gen" || o.kind == "once" {
			pool = "engines"
		}
		requests[pool] = append(requests[pool], o.began)
	}
	for pool, starts := range requests {
		first := map[string]time.Time{}
		var arrivals, retries []time.Time
		var ids []string
		for _, v := range s.env.services {
			if v.pool != pool {
				continue
			}
			for _, u := range v.allLifetimes() {
				for _, a := range u.Arrivals() {
					if id := a.Header.Get("Request-Id"); id != "" && id != "gate" {
						ids, arrivals = append(ids, id), append(arrivals, a.At)
						if f, known := first[id]; !known || a.At.Before(f) {
							first[id] = a.At
						}
					}
				}
			}
		}
		for i, at := range arrivals {
			if at != first[ids[i]] {
				retries = append(retries, at)
			}
		}
		for _, end := range retries {
			retried, base := countWithin(retries, end, retryWindow), countWithin(starts, end, 2*retryWindow)
			if allowed := retryRatio*float64(base) + retrySlack; float64(retried) > allowed {
				s.problem("%d retries to %s within %v, %.0f are allowed", retried, pool, retryWindow, allowed)
				break
			}
		}
		s.c.Logf("%s: %d requests, %d retries", pool, len(starts), len(retries))
	}
}

// countWithin counts the times in the window that ends at end.
func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if !at.After(end) && end.Sub(at) < window {
			n++
		}
	}
	return n
}

// checkRecovery waits until all requests are served again under the newest configuration.
func (s *soak) checkRecovery(t *traffic) {
	end := time.Now().Add(recoveryTimeout)
	for {
		since := time.Now()
		time.Sleep(calmPeriod)
		failure := s.unrecovered(t.since(since))
		if failure == "" {
			return
		}
		if time.Now().After(end) {
			s.problem("%v after all faults had ended: %s", recoveryTimeout, failure)
			return
		}
	}
}

// unrecovered describes what has not recovered yet; it is empty after full recovery.
func (s *soak) unrecovered(outcomes []outcome) string {
	served := 0
	for _, o := range outcomes {
		if o.status == http.StatusOK && o.err == nil {
			served++
		}
	}
	if len(outcomes) == 0 || float64(served) < minServedRatio*float64(len(outcomes)) {
		return fmt.Sprintf("%d of %d requests were served", served, len(outcomes))
	}
	for _, e := range s.env.entries {
		if !e.isReady() {
			return e.name + " is not ready"
		}
		if newest := s.env.version.Load(); e.configVersion.Load() != newest {
			return fmt.Sprintf("%s has configuration %d, the newest is %d", e.name, e.configVersion.Load(), newest)
		}
	}
	return ""
}

package soak_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	retryRatio  = 0.2 // of the settings
	retrySlack  = 56
	retryWindow = 10 * time.Second
	maxProblems = 20
	leastServed = 0.99 // of the requests, once all is well again
)

// check compares what callers got with what upstreams did.
func (s *soak) check(t *traffic, outcomes []outcome) {
	ran := map[string]int{}
	for _, v := range s.w.services {
		for _, u := range v.all() {
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
	for _, b := range t.backward {
		s.problem("%s", b)
	}
	s.checkDrained()
	s.checkRepeats(outcomes)
}

// checkOne checks the answer to one request, which ran a number of times.
func (s *soak) checkOne(o outcome, ran int) {
	disturbed := o.entry.troubled(o.began, o.ended)
	label := fmt.Sprintf("%s at %s: status %d, ran %d times, error %v", o.id, o.entry.name, o.status, ran, o.err)
	if (o.kind == "act" || o.kind == "once") && ran > 1 {
		s.problem("not repeatable, but ran more than once: %s", label)
	}
	if took := o.ended.Sub(o.began); took > answerLimit && !disturbed {
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
		s.problem("refused without a time to come back: %s", label)
	case o.status == 0 && !disturbed:
		s.problem("no answer: %s", label)
	case !slices.Contains([]int{0, 200, 502, 503, 504}, o.status):
		s.problem("unexpected status: %s", label)
	}
}

// expected is the whole body of the answer to a request; that of a plain service names the upstream.
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

// checkDrained checks that upstreams that were listed as leaving got nothing more, where the store could tell everybody.
func (s *soak) checkDrained() {
	for _, d := range s.drained {
		for _, a := range d.up.Arrivals() {
			late := a.At.Sub(d.at)
			if late <= drainWithin || s.storeDisturbed(d.at.Add(-longest), a.At) {
				continue
			}
			s.problem("%s got %s %v after it was listed as leaving", d.up.ID, a.Target, late)
		}
	}
}

func (s *soak) storeDisturbed(from, to time.Time) bool {
	return slices.ContainsFunc(s.store, func(sp span) bool { return sp.meets(from, to) })
}

// checkRepeats checks the retry budget of the pools that callers' requests go to.
func (s *soak) checkRepeats(outcomes []outcome) {
	requests := map[string][]time.Time{}
	for _, o := range outcomes {
		pool := "plain"
		if o.kind == "gen" || o.kind == "once" {
			pool = "engines"
		}
		requests[pool] = append(requests[pool], o.began)
	}
	for pool, begun := range requests {
		first := map[string]time.Time{}
		var all, repeats []time.Time
		var ids []string
		for _, v := range s.w.services {
			if v.pool != pool {
				continue
			}
			for _, u := range v.all() {
				for _, a := range u.Arrivals() {
					if id := a.Header.Get("Request-Id"); id != "" && id != "gate" {
						ids, all = append(ids, id), append(all, a.At)
						if f, known := first[id]; !known || a.At.Before(f) {
							first[id] = a.At
						}
					}
				}
			}
		}
		for i, at := range all {
			if at != first[ids[i]] {
				repeats = append(repeats, at)
			}
		}
		for _, end := range repeats {
			extra, base := within(repeats, end, retryWindow), within(begun, end, 2*retryWindow)
			if allowed := retryRatio*float64(base) + retrySlack; float64(extra) > allowed {
				s.problem("%d repeats to %s within %v, %.0f are allowed", extra, pool, retryWindow, allowed)
				break
			}
		}
		s.c.Logf("%s: %d requests, %d repeats", pool, len(begun), len(repeats))
	}
}

// within counts the times in the window that ends at end.
func within(times []time.Time, end time.Time, window time.Duration) int {
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
	end := time.Now().Add(recoverLimit)
	for {
		since := time.Now()
		time.Sleep(calmTime)
		lacking := s.lacking(t.since(since))
		if lacking == "" {
			return
		}
		if time.Now().After(end) {
			s.problem("%v after all faults had ended: %s", recoverLimit, lacking)
			return
		}
	}
}

// lacking says what is not as it should be without faults.
func (s *soak) lacking(outcomes []outcome) string {
	served := 0
	for _, o := range outcomes {
		if o.status == http.StatusOK && o.err == nil {
			served++
		}
	}
	if len(outcomes) == 0 || float64(served) < leastServed*float64(len(outcomes)) {
		return fmt.Sprintf("%d of %d requests were served", served, len(outcomes))
	}
	for _, e := range s.w.entries {
		if !e.isReady() {
			return e.name + " is not ready"
		}
		if newest := s.w.version.Load(); e.gate.Load() != newest {
			return fmt.Sprintf("%s has configuration %d, the newest is %d", e.name, e.gate.Load(), newest)
		}
	}
	return ""
}

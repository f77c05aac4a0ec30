package trial_test

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/bench/trial"
)

// TestScenariosNeedTheirMechanism disables one mechanism at a time: the scenario that covers it must miss a target.
func TestScenariosNeedTheirMechanism(t *testing.T) {
	if raceEnabled {
		t.Skip("one goroutine, checked in plain builds")
	}
	for _, test := range []struct {
		name     string
		scenario string
		without  func(*trial.Policy)
	}{
		{"pick", "zone", func(p *trial.Policy) { p.Pick = false }},
		{"sched", "long", func(p *trial.Policy) { p.Sched = false }},
		{"retry", "failing", func(p *trial.Policy) { p.Retry = false }},
		{"eject", "zone", func(p *trial.Policy) { p.Eject = false }},
		{"admit", "overload", func(p *trial.Policy) { p.Admit = false }},
		{"share", "greedy", func(p *trial.Policy) { p.Share = false }},
		{"affin", "prefix", func(p *trial.Policy) { p.Affinity = false }},
		{"hedge", "hedge", func(p *trial.Policy) { p.Hedge = false }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s, err := trial.Load(filepath.Join(scenarioDir, test.scenario+".yaml"))
			qt.Assert(t, err, qt.IsNil)
			p := trial.Ours()
			test.without(&p)
			r := trial.Run(s, p)
			missed := 0
			for _, e := range s.Expect {
				v := measure(s, e, r)
				t.Logf("%s: %.4f", e, v)
				if !e.Holds(v) {
					missed++
				}
			}
			qt.Check(t, missed > 0, qt.IsTrue)
		})
	}
}

func measure(s trial.Scenario, e trial.Expect, r *trial.Result) float64 {
	if e.Baseline == "" {
		return r.Value(e)
	}
	return trial.Measure(s, e, r, trial.Run(s, trial.Naive()))
}

package trial

// Compare returns each expected metric of a scenario under a policy, and under the naive one.
func Compare(s Scenario, p Policy) (ours, naive []float64) {
	a, b := Run(s, p), Run(s, Naive())
	for _, e := range s.Expect {
		ours = append(ours, Measure(s, e, a, b))
		naive = append(naive, Measure(s, e, b, b))
	}
	return ours, naive
}

// Measure returns an expected metric of a run, against its baseline if it names one.
func Measure(s Scenario, e Expect, r, naive *Result) float64 {
	switch e.Over {
	case "naive":
		return r.Over(naive, e)
	case "noFault":
		return r.Over(Run(s.WithoutFaults(), r.policy), e)
	}
	return r.Value(e)
}

package trial

// Compare runs a scenario under a policy and under the naive one, and returns each expected metric of both.
func Compare(s Scenario, p Policy) (ours, naive []float64) {
	a, b := Run(s, p), Run(s, Naive())
	for _, e := range s.Expect {
		ours = append(ours, Measure(s, e, a, b))
		naive = append(naive, Measure(s, e, b, b))
	}
	return ours, naive
}

// Measure returns an expected metric of a run, relative to the baseline that the expectation names, if any.
func Measure(s Scenario, e Expect, r, naive *Result) float64 {
	switch e.Baseline {
	case "naive":
		return r.RelativeTo(naive, e)
	case "noFault":
		return r.RelativeTo(Run(s.WithoutFaults(), r.policy), e)
	}
	return r.Value(e)
}

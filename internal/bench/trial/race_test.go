//go:build race

package trial_test

// raceEnabled limits the scenarios that run under the race detector: each runs on one goroutine, and builds without the
// detector check all targets.
const raceEnabled = true

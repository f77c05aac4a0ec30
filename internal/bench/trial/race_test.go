//go:build race

package trial_test

// underRace keeps the scenarios short: each runs on one goroutine, and plain builds check all their bounds.
const underRace = true

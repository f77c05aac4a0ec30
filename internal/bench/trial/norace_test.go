//go:build !race

package trial_test

const raceEnabled = false

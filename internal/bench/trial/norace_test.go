//go:build !race

package trial_test

const underRace = false

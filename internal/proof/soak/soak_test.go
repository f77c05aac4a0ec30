package soak_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/fake/child"
)

// Environment variables that select longer soaks, which are run by hand.
const (
	seedsVariable   = "RAGWORTHATCH_SOAK"         // a seed, a range such as 1-50, or allFailed
	entriesVariable = "RAGWORTHATCH_SOAK_ENTRIES" // processes
	secondsVariable = "RAGWORTHATCH_SOAK_SECONDS" // of faults
)

const (
	allFailed       = "failed" // all runs of testdata/seeds.yaml
	defaultEntries  = 3
	defaultSeconds  = 6
	recoveryTimeout = 12 * time.Second // after the end of the last fault
	calmPeriod      = 1500 * time.Millisecond
)

func TestMain(m *testing.M) {
	code := m.Run()
	child.Clean()
	os.Exit(code)
}

// TestSoak checks the guarantees under the runs of testdata/seeds.yaml that are small enough for CI, or under those
// that the environment selects.
func TestSoak(t *testing.T) {
	for _, r := range runs(qt.New(t)) {
		t.Run(strconv.FormatUint(r.Seed, 10), func(t *testing.T) {
			t.Parallel()
			runSoak(qt.New(t), r.Seed, r.Entries, time.Duration(r.Seconds)*time.Second)
		})
	}
}

// runSoak injects the faults of one seed under traffic and checks what callers and upstreams saw.
func runSoak(c *qt.C, seed uint64, entries int, duration time.Duration) {
	env := newEnvironment(c, entries)
	s := &soak{env: env, c: c}
	s.waitReady(startLimit)
	t := env.startTraffic()
	time.Sleep(calmPeriod)
	s.play(slices.Concat(s.plan(rand.New(rand.NewPCG(seed, 0)), duration),
		s.planEvacuations(rand.New(rand.NewPCG(seed, 1)), duration), s.planFalseAnswers(rand.New(rand.NewPCG(seed, 2)), duration)))
	s.checkRecovery(t)
	s.check(t, t.finish())
	for i, p := range s.problems {
		if i == maxProblems {
			c.Logf("and %d more", len(s.problems)-maxProblems)
			break
		}
		c.Log(p)
	}
	c.Check(len(s.problems), qt.Equals, 0)
}

// waitReady waits until all entries are ready and records a problem for each one that is not in time.
func (s *soak) waitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, e := range s.env.entries {
		for !e.isReady() {
			if time.Now().After(end) {
				s.problem("%s is not ready within %v", e.name, limit)
				break
			}
			time.Sleep(requestInterval)
		}
	}
}

// run is the configuration of one soak; testdata/seeds.yaml lists seeds that failed once and one that CI always runs.
type run struct {
	Seed    uint64 `yaml:"seed"`
	Entries int    `yaml:"entries"` // processes
	Seconds int    `yaml:"seconds"` // of faults
	ByHand  bool   `yaml:"byHand"`  // too large for CI
	Cause   string `yaml:"cause"`
}

// runs returns the runs of testdata/seeds.yaml that CI uses, or those that the environment selects.
func runs(c *qt.C) []run {
	text := os.Getenv(seedsVariable)
	entries, seconds := intVariable(entriesVariable, defaultEntries), intVariable(secondsVariable, defaultSeconds)
	if text == "" || text == allFailed {
		return readRuns(c, text == allFailed)
	}
	low, high, ok := strings.Cut(text, "-")
	if !ok {
		high = low
	}
	first, err := strconv.ParseUint(low, 10, 64)
	c.Assert(err, qt.IsNil)
	last, err := strconv.ParseUint(high, 10, 64)
	c.Assert(err, qt.IsNil)
	var out []run
	for seed := first; seed <= last; seed++ {
		out = append(out, run{Seed: seed, Entries: entries, Seconds: seconds})
	}
	return out
}

// readRuns reads testdata/seeds.yaml; without all, it leaves out the runs that are too large for CI.
func readRuns(c *qt.C, all bool) []run {
	data, err := os.ReadFile("testdata/seeds.yaml")
	c.Assert(err, qt.IsNil)
	var list, out []run
	c.Assert(yaml.UnmarshalWithOptions(data, &list, yaml.Strict()), qt.IsNil)
	for _, r := range list {
		c.Check(r.Cause, qt.Not(qt.Equals), "", qt.Commentf(fmt.Sprint(r.Seed)))
		r.Entries, r.Seconds = cmp.Or(r.Entries, defaultEntries), cmp.Or(r.Seconds, defaultSeconds)
		if all || !r.ByHand {
			out = append(out, r)
		}
	}
	return out
}

// intVariable returns the integer in an environment variable, or fallback if there is none.
func intVariable(variable string, fallback int) int {
	n, err := strconv.Atoi(os.Getenv(variable))
	if err != nil {
		return fallback
	}
	return n
}

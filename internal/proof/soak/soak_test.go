package soak_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/fake/child"
)

// The variables of longer soaks by hand.
const (
	seedsVariable   = "RAGWORTHATCH_SOAK"         // seeds, as in 7 or 1-50
	entriesVariable = "RAGWORTHATCH_SOAK_ENTRIES" // processes
	secondsVariable = "RAGWORTHATCH_SOAK_SECONDS" // of faults
)

const (
	usualEntries = 3
	usualSeconds = 6
	recoverLimit = 12 * time.Second // after the end of the last fault
	calmTime     = 1500 * time.Millisecond
)

func TestMain(m *testing.M) {
	code := m.Run()
	child.Clean()
	os.Exit(code)
}

// TestSoak plays the seeds of testdata/seeds.yaml, or those that the environment names.
func TestSoak(t *testing.T) {
	for _, seed := range seeds(qt.New(t)) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			play(qt.New(t), seed, number(entriesVariable, usualEntries), time.Duration(number(secondsVariable, usualSeconds))*time.Second)
		})
	}
}

func play(c *qt.C, seed uint64, entries int, total time.Duration) {
	w := newWorld(c, entries)
	s := &soak{w: w, c: c}
	s.waitReady(startLimit)
	t := w.startTraffic()
	time.Sleep(calmTime)
	s.play(s.plan(rand.New(rand.NewPCG(seed, 0)), total))
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

// waitReady waits until all entries are ready; one that isn't in time is a problem.
func (s *soak) waitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, e := range s.w.entries {
		for !e.isReady() {
			if time.Now().After(end) {
				s.problem("%s is not ready within %v", e.name, limit)
				break
			}
			time.Sleep(betweenRequests)
		}
	}
}

// regression is a seed that failed once, or one that CI always plays.
type regression struct {
	Seed  uint64 `yaml:"seed"`
	Cause string `yaml:"cause"`
}

func seeds(c *qt.C) []uint64 {
	var out []uint64
	if text := os.Getenv(seedsVariable); text != "" {
		low, high, ok := strings.Cut(text, "-")
		if !ok {
			high = low
		}
		first, err := strconv.ParseUint(low, 10, 64)
		c.Assert(err, qt.IsNil)
		last, err := strconv.ParseUint(high, 10, 64)
		c.Assert(err, qt.IsNil)
		for seed := first; seed <= last; seed++ {
			out = append(out, seed)
		}
		return out
	}
	data, err := os.ReadFile("testdata/seeds.yaml")
	c.Assert(err, qt.IsNil)
	var list []regression
	c.Assert(yaml.UnmarshalWithOptions(data, &list, yaml.Strict()), qt.IsNil)
	for _, r := range list {
		c.Check(r.Cause, qt.Not(qt.Equals), "", qt.Commentf(fmt.Sprint(r.Seed)))
		out = append(out, r.Seed)
	}
	return out
}

func number(variable string, usual int) int {
	n, err := strconv.Atoi(os.Getenv(variable))
	if err != nil {
		return usual
	}
	return n
}

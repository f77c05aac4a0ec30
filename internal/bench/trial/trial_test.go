package trial_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/bench/trial"
)

const (
	data     = "../testdata"
	redFile  = "../../../KNOWN-RED.txt"
	redField = "test: "
)

// TestScenarios holds every scenario to its stated targets and logs the naive version beside ours.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(data, "*.yaml"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	if underRace {
		files = []string{filepath.Join(data, "failing.yaml")}
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".yaml"), func(t *testing.T) {
			t.Parallel()
			s, err := trial.Load(file)
			qt.Assert(t, err, qt.IsNil)
			check(t, s)
		})
	}
}

func check(t *testing.T, s trial.Scenario) {
	ours := trial.Run(s, trial.Ours())
	naive := trial.Run(s, trial.Naive())
	var failed []string
	for _, e := range s.Expect {
		got, other := trial.Measure(s, e, ours, naive), trial.Measure(s, e, naive, naive)
		t.Logf("%s: ours %.4f, naive %.4f", e, got, other)
		if !e.Holds(got) {
			failed = append(failed, e.String())
		}
	}
	t.Logf("failures of %d requests: ours %v; of %d, naive %v", ours.Requests(), ours.Codes(), naive.Requests(), naive.Codes())
	report(t, failed)
}

// report fails the test, unless the test is listed as known to be red; a listed test that passes fails too.
func report(t *testing.T, failed []string) {
	known := knownRed(t, t.Name())
	switch {
	case len(failed) > 0 && known:
		t.Skipf("known red, see KNOWN-RED.txt: %s", strings.Join(failed, "; "))
	case len(failed) > 0:
		t.Errorf("not reached: %s", strings.Join(failed, "; "))
	case known:
		t.Errorf("%s passes: take it out of KNOWN-RED.txt", t.Name())
	}
}

func knownRed(t *testing.T, name string) bool {
	text, err := os.ReadFile(redFile)
	if os.IsNotExist(err) {
		return false
	}
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.TrimSpace(strings.TrimPrefix(line, redField)) == name && strings.HasPrefix(line, redField) {
			return true
		}
	}
	return false
}

// TestLateAnswerOfALoserIsDropped plays a seed in which a hedge's loser answers after its request's last stage.
func TestLateAnswerOfALoserIsDropped(t *testing.T) {
	s, err := trial.Load(filepath.Join(data, "hedge.yaml"))
	qt.Assert(t, err, qt.IsNil)
	s.Seed = 17
	qt.Check(t, trial.Run(s, trial.Ours()).Requests() > 0, qt.IsTrue)
}

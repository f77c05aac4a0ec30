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
	scenarioDir    = "../testdata"
	knownRedFile   = "../../../KNOWN-RED.txt"
	knownRedPrefix = "test: "
)

// TestScenarios checks that every scenario meets its targets under the system's policy, and logs the
// figures of both policies.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(scenarioDir, "*.yaml"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	if raceEnabled {
		files = []string{filepath.Join(scenarioDir, "failing.yaml")}
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".yaml"), func(t *testing.T) {
			t.Parallel()
			s, err := trial.Load(file)
			qt.Assert(t, err, qt.IsNil)
			checkTargets(t, s)
		})
	}
}

func checkTargets(t *testing.T, s trial.Scenario) {
	ours := trial.Run(s, trial.Ours())
	naive := trial.Run(s, trial.Naive())
	var missed []string
	for _, e := range s.Expect {
		got, other := trial.Measure(s, e, ours, naive), trial.Measure(s, e, naive, naive)
		t.Logf("%s: ours %.4f, naive %.4f", e, got, other)
		if !e.Holds(got) {
			missed = append(missed, e.String())
		}
	}
	t.Logf("failures of %d requests: ours %v; of %d, naive %v",
		ours.Requests(), ours.Codes(), naive.Requests(), naive.Codes())
	reportMissed(t, missed)
}

// reportMissed fails the test if targets were missed, unless KNOWN-RED.txt lists the test. A listed test that passes
// fails, so that the list stays current.
func reportMissed(t *testing.T, missed []string) {
	known := knownRed(t, t.Name())
	switch {
	case len(missed) > 0 && known:
		t.Skipf("known red, see KNOWN-RED.txt: %s", strings.Join(missed, "; "))
	case len(missed) > 0:
		t.Errorf("not reached: %s", strings.Join(missed, "; "))
	case known:
		t.Errorf("%s passes: take it out of KNOWN-RED.txt", t.Name())
	}
}

func knownRed(t *testing.T, name string) bool {
	text, err := os.ReadFile(knownRedFile)
	if os.IsNotExist(err) {
		return false
	}
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.TrimSpace(strings.TrimPrefix(line, knownRedPrefix)) == name && strings.HasPrefix(line, knownRedPrefix) {
			return true
		}
	}
	return false
}

// TestLateAnswerOfLosingHedgeIsDropped uses a seed with which the slower of two hedged calls answers after its request
// has finished its last stage. The answer must be dropped: there is no current stage to record it for.
func TestLateAnswerOfLosingHedgeIsDropped(t *testing.T) {
	s, err := trial.Load(filepath.Join(scenarioDir, "hedge.yaml"))
	qt.Assert(t, err, qt.IsNil)
	s.Seed = 17
	qt.Check(t, trial.Run(s, trial.Ours()).Requests() > 0, qt.IsTrue)
}

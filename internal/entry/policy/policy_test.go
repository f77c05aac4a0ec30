package policy_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/entry/exec"
	"github.com/ragworthatch/ragworthatch/internal/entry/policy"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// TestDrainingZoneUsesFreeRetries checks that a request succeeds although each of its stages is refused once by a
// draining zone, and that it fails when the whole pool drains.
func TestDrainingZoneUsesFreeRetries(t *testing.T) {
	c := qt.New(t)
	p := policy.New(rand.New(rand.NewPCG(1, 1)), time.Now, zap.NewNop())
	w := exec.StageInfo{Pool: "engines", Remaining: time.Second}
	draining := fault.New(fault.NotRun, fault.Draining, "leaving")
	for n := range uint32(5) {
		_, again := p.Retry(w, exec.FailedAttempt{Fault: draining, Retries: 3, FreeRetries: n})
		c.Check(again, qt.IsTrue, qt.Commentf("after %d refusals", n))
	}
	_, again := p.Retry(w, exec.FailedAttempt{Fault: draining, FreeRetries: 5})
	c.Check(again, qt.IsFalse)
	_, again = p.Retry(w, exec.FailedAttempt{Fault: fault.New(fault.NotRun, fault.NoUpstream, "none"), Retries: 3})
	c.Check(again, qt.IsFalse)
}

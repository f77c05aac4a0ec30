package script_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/demo/script"
	"github.com/ragworthatch/ragworthatch/internal/ops/logger"
)

// TestDemoHasNoViolations checks the guarantees under the demo's faults: every request ends with exactly one
// outcome, and more than half of them complete.
func TestDemoHasNoViolations(t *testing.T) {
	c := qt.New(t)
	logger.RouteLibraries(zap.NewNop())
	d, err := script.New(context.Background(), script.Options{Log: zap.NewNop(), Seed: 3, Pause: 100 * time.Millisecond})
	c.Assert(err, qt.IsNil)
	defer d.Close()
	r, err := d.Run(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(r.Violations, qt.HasLen, 0)
	c.Assert(r.Counts.HasViolations(), qt.IsFalse)
	c.Assert(r.Requests > 0, qt.IsTrue)
	c.Assert(r.Whole+r.RefusedNotRun+r.MayHaveRun, qt.Equals, r.Requests)
	c.Assert(r.Whole > r.Requests/2, qt.IsTrue, qt.Commentf("%+v", r.Counts))
}

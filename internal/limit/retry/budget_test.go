package retry_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/retry"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

func TestDecide(t *testing.T) {
	text, err := os.ReadFile("testdata/decide.txt")
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "#") {
			continue
		}
		t.Run(strings.Join(strings.Fields(line), " "), func(t *testing.T) {
			var f retry.Failure
			var verdict, code, reason string
			var remaining int64
			var again bool
			_, err := fmt.Sscan(line, &verdict, &code, &f.Repeatable, &f.Retries, &f.OverloadRetries, &f.FreeRetries,
				&remaining, &again, &reason)
			qt.Assert(t, err, qt.IsNil)
			f.Err = fault.New(fault.Verdict(verdict), fault.Code(code), "test")
			f.Remaining = time.Duration(remaining) * time.Millisecond
			f.Estimate = 200 * time.Millisecond
			got := retry.New(0).Decide(f)
			qt.Check(t, got, qt.Equals, retry.Decision{Again: again, Reason: retry.Reason(reason)})
		})
	}
}

func TestBudgetIsEarnedBySuccesses(t *testing.T) {
	c := qt.New(t)
	b := retry.New(0.1)
	f := retry.Failure{
		Err:        fault.New(fault.MayHaveRun, fault.Upstream, "test"),
		Repeatable: true,
		Remaining:  time.Second,
	}
	again := func(n int) (sent int) {
		for range n {
			if b.Decide(f).Again {
				sent++
			}
		}
		return sent
	}
	c.Check(again(1000) <= 20, qt.IsTrue)
	for range 101 {
		b.Succeeded()
	}
	c.Check(again(1000), qt.Equals, 10)
	f.Err = fault.New(fault.NotRun, fault.Draining, "test")
	c.Check(again(5), qt.Equals, 5, qt.Commentf("a refusal by a draining upstream costs nothing"))
}

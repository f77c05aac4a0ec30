package tally

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/echo"
	"github.com/ragworthatch/ragworthatch/internal/fake/plain"
	"github.com/ragworthatch/ragworthatch/internal/fake/record"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
)

// Counts holds the number of requests by outcome, and the number of violated guarantees by kind.
type Counts struct {
	Requests        int `json:"requests"`
	Whole           int `json:"whole"`
	Late            int `json:"late"`
	RefusedNotRun   int `json:"refusedNotRun"`
	MayHaveRun      int `json:"mayHaveRun"`
	Lost            int `json:"lost"`
	Doubled         int `json:"doubled"`
	Misdelivered    int `json:"misdelivered"`
	NotRunButRan    int `json:"notRunButRan"`
	ActionsRunTwice int `json:"actionsRunTwice"`
}

// HasViolations reports whether a guarantee was violated.
func (c Counts) HasViolations() bool {
	return c.Lost+c.Doubled+c.Misdelivered+c.NotRunButRan+c.ActionsRunTwice > 0
}

// Call is a request with its answer. Marker is part of its input and unique, except for resends of the same request.
type Call struct {
	Marker  string
	Request caller.Request
	Answer  caller.Answer
	// LateAfter is the time after which the answer counts as late.
	LateAfter time.Duration
}

// Tally collects finished calls; it is safe for concurrent use.
type Tally struct {
	mu    sync.Mutex
	calls []Call
}

// Add adds a finished call.
func (t *Tally) Add(c Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
}

// Len returns the number of calls so far.
func (t *Tally) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// Count compares the calls with the records of all fake upstreams; the texts describe each violated guarantee.
func (t *Tally) Count(books []*record.Recorder) (Counts, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &counter{runs: map[string]int{}, prompts: map[string][][]byte{},
		effects: map[string]int{}, receipts: map[string]int64{}}
	for _, b := range books {
		c.addRecords(b.Entries())
	}
	for _, call := range t.calls {
		c.addCall(call)
	}
	for key, n := range c.effects {
		if n > 1 {
			c.ActionsRunTwice++
			c.violationf("action %s ran %d times", key, n)
		}
	}
	slices.Sort(c.violations)
	return c.Counts, c.violations
}

// counter accumulates the counts of one comparison.
type counter struct {
	Counts
	violations []string
	runs       map[string]int      // calls that an upstream started, by marker
	prompts    map[string][][]byte // bodies of those calls, by marker
	effects    map[string]int      // actions that took effect, by key
	receipts   map[string]int64    // number of the last receipt, by key
}

func (c *counter) violationf(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *counter) addRecords(entries []record.Entry) {
	for _, e := range entries {
		if e.Mixed {
			c.Misdelivered++
			c.violationf("call %s held the data of several requests", e.ID)
		}
		if !e.Ran {
			continue
		}
		c.runs[e.Marker]++
		c.prompts[e.Marker] = append(c.prompts[e.Marker], e.Body)
		if e.Effect && e.Key != "" {
			c.effects[e.Key]++
		}
	}
}

func (c *counter) addCall(call Call) {
	c.Requests++
	a := call.Answer
	switch {
	case a.Duplicates > 0:
		c.Doubled++
		c.violationf("%s: %d events came twice: %v", call.Marker, a.Duplicates, a.Err)
	case !a.Ended:
		c.Lost++
		c.violationf("%s: no end of the answer: %v", call.Marker, a.Err)
	case a.Verdict == fault.NotRun:
		c.RefusedNotRun++
		c.checkNotRun(call)
	case a.Verdict != "":
		c.MayHaveRun++
		c.checkAction(call)
	case !a.Whole:
		c.Lost++
		c.violationf("%s: not whole: %v", call.Marker, a.Err)
	default:
		c.checkWhole(call)
	}
}

func (c *counter) checkNotRun(call Call) {
	if c.runs[call.Marker] > 0 {
		c.NotRunButRan++
		c.violationf("%s: told notRun (%s: %s), and %d calls ran",
			call.Marker, call.Answer.Code, call.Answer.Message, c.runs[call.Marker])
	}
}

// checkAction checks what the answer of a failed request says about its action.
func (c *counter) checkAction(call Call) {
	a := call.Answer
	if a.Action == fault.NotRun && c.effects[call.Request.Key] > 0 {
		c.NotRunButRan++
		c.violationf("%s: told that action %s did not run (%s: %s), and it did",
			call.Marker, call.Request.Key, a.Code, a.Message)
	}
}

func (c *counter) checkWhole(call Call) {
	c.Whole++
	a := call.Answer
	if a.Latency > call.LateAfter {
		c.Late++
	}
	if problem := c.contentProblem(call); problem != "" {
		c.Misdelivered++
		c.violationf("%s: %s", call.Marker, problem)
	}
	if call.Request.Key == "" {
		return
	}
	var r plain.Receipt
	if json.Unmarshal(a.Result, &r) != nil {
		return
	}
	if first, ok := c.receipts[call.Request.Key]; ok && first != r.Receipt {
		c.Doubled++
		c.violationf("action %s has receipts %d and %d", call.Request.Key, first, r.Receipt)
	}
	c.receipts[call.Request.Key] = r.Receipt
}

// contentProblem describes why a complete answer does not belong to its request, or returns an empty string if it does.
func (c *counter) contentProblem(call Call) string {
	a := call.Answer
	if len(a.Result) > 0 {
		var r plain.Receipt
		if err := json.Unmarshal(a.Result, &r); err != nil || r.Marker != call.Marker {
			return fmt.Sprintf("result is for %q", r.Marker)
		}
		return ""
	}
	for _, body := range c.prompts[call.Marker] {
		if a.Text == engineText(body, a.Tokens) {
			return ""
		}
	}
	return fmt.Sprintf("text of %d tokens is not what an engine made of its prompt", a.Tokens)
}

// engineText returns the text that a fake engine generates for a prompt.
func engineText(body []byte, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(echo.Token(body, uint64(i)))
	}
	return b.String()
}

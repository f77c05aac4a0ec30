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

// Counts are the figures of a run.
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

// Broken says whether a promise was broken.
func (c Counts) Broken() bool {
	return c.Lost+c.Doubled+c.Misdelivered+c.NotRunButRan+c.ActionsRunTwice > 0
}

// Call is a request with its answer; Marker is in its input and in no other's, but for resends.
type Call struct {
	Marker  string
	Request caller.Request
	Answer  caller.Answer
	// Limit is the deadline that the caller counted by.
	Limit time.Duration
}

// Tally collects calls.
type Tally struct {
	mu    sync.Mutex
	calls []Call
}

// Add takes a finished call.
func (t *Tally) Add(c Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
}

// Len is the number of calls so far.
func (t *Tally) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// Count compares the calls with the books of all stand-ins; the texts describe each broken promise.
func (t *Tally) Count(books []*record.Recorder) (Counts, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := &count{ran: map[string]int{}, bodies: map[string][][]byte{}, effects: map[string]int{}, receipts: map[string]int64{}}
	for _, b := range books {
		c.read(b.Entries())
	}
	for _, call := range t.calls {
		c.call(call)
	}
	for key, n := range c.effects {
		if n > 1 {
			c.ActionsRunTwice++
			c.say("action %s ran %d times", key, n)
		}
	}
	slices.Sort(c.texts)
	return c.Counts, c.texts
}

type count struct {
	Counts
	texts    []string
	ran      map[string]int      // calls that a stand-in began, by marker
	bodies   map[string][][]byte // prompts that an engine began, by marker
	effects  map[string]int      // by key
	receipts map[string]int64    // by key
}

func (c *count) say(format string, args ...any) {
	c.texts = append(c.texts, fmt.Sprintf(format, args...))
}

func (c *count) read(entries []record.Entry) {
	for _, e := range entries {
		if e.Mixed {
			c.Misdelivered++
			c.say("call %s held the data of several requests", e.ID)
		}
		if !e.Ran {
			continue
		}
		c.ran[e.Marker]++
		c.bodies[e.Marker] = append(c.bodies[e.Marker], e.Body)
		if e.Effect && e.Key != "" {
			c.effects[e.Key]++
		}
	}
}

func (c *count) call(call Call) {
	c.Requests++
	a := call.Answer
	switch {
	case a.Duplicates > 0:
		c.Doubled++
		c.say("%s: %d events came twice: %v", call.Marker, a.Duplicates, a.Err)
	case !a.Ended:
		c.Lost++
		c.say("%s: no end of the answer: %v", call.Marker, a.Err)
	case a.Verdict == fault.NotRun:
		c.RefusedNotRun++
		c.refused(call)
	case a.Verdict != "":
		c.MayHaveRun++
		c.unsure(call)
	case !a.Whole:
		c.Lost++
		c.say("%s: not whole: %v", call.Marker, a.Err)
	default:
		c.whole(call)
	}
}

func (c *count) refused(call Call) {
	if c.ran[call.Marker] > 0 {
		c.NotRunButRan++
		c.say("%s: told notRun (%s: %s), and %d calls ran", call.Marker, call.Answer.Code, call.Answer.Message, c.ran[call.Marker])
	}
}

// unsure checks what a failed request says of its action alone.
func (c *count) unsure(call Call) {
	a := call.Answer
	if a.Action == fault.NotRun && c.effects[call.Request.Key] > 0 {
		c.NotRunButRan++
		c.say("%s: told that action %s did not run (%s: %s), and it did", call.Marker, call.Request.Key, a.Code, a.Message)
	}
}

func (c *count) whole(call Call) {
	c.Whole++
	a := call.Answer
	if a.Latency > call.Limit {
		c.Late++
	}
	if problem := c.content(call); problem != "" {
		c.Misdelivered++
		c.say("%s: %s", call.Marker, problem)
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
		c.say("action %s has receipts %d and %d", call.Request.Key, first, r.Receipt)
	}
	c.receipts[call.Request.Key] = r.Receipt
}

// content says what is wrong with a whole answer, empty when it is the caller's own.
func (c *count) content(call Call) string {
	a := call.Answer
	if len(a.Result) > 0 {
		var r plain.Receipt
		if err := json.Unmarshal(a.Result, &r); err != nil || r.Marker != call.Marker {
			return fmt.Sprintf("result is for %q", r.Marker)
		}
		return ""
	}
	for _, body := range c.bodies[call.Marker] {
		if a.Text == text(body, a.Tokens) {
			return ""
		}
	}
	return fmt.Sprintf("text of %d tokens is not what an engine made of its prompt", a.Tokens)
}

// text is what an engine makes of a prompt.
func text(body []byte, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(echo.Token(body, uint64(i)))
	}
	return b.String()
}

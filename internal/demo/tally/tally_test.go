package tally_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/ragworthatch/ragworthatch/internal/demo/tally"
	"github.com/ragworthatch/ragworthatch/internal/fake/echo"
	"github.com/ragworthatch/ragworthatch/internal/fake/plain"
	"github.com/ragworthatch/ragworthatch/internal/fake/record"
	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
)

const deadline = time.Second

func body(marker string) []byte { return []byte(`{"marker":"` + marker + `"}`) }

// addLine adds the call or the record that a line of counts.txtar describes.
func addLine(c *qt.C, t *tally.Tally, b *record.Recorder, line string) {
	f := strings.Fields(line)
	call := tally.Call{Marker: f[1], LateAfter: deadline}
	switch f[0] {
	case "ran", "effect":
		key := strings.Join(f[2:], "")
		update := b.Add(upstream.Call{ID: f[1] + "/s/1", Key: key, Body: body(f[1])}, f[1], false)
		update(func(e *record.Entry) { e.Ran, e.Effect = true, f[0] == "effect" })
		return
	case "mixed":
		b.Add(upstream.Call{ID: f[1] + "/s/1"}, f[1], true)
		return
	case "refused", "unsure":
		call.Answer = caller.Answer{Ended: true, Verdict: fault.NotRun}
		if f[0] == "unsure" {
			call.Answer.Verdict = fault.MayHaveRun
		}
	case "safe":
		call.Request.Key = f[2]
		call.Answer = caller.Answer{Ended: true, Verdict: fault.MayHaveRun, Action: fault.NotRun}
	case "silence":
		call.Answer = caller.Answer{Err: errors.New("connection reset")}
	case "cut":
		call.Answer = caller.Answer{Ended: true, Err: errors.New("digest does not match")}
	case "text", "late", "twice":
		call.Answer = caller.Answer{Ended: true, Whole: true, Tokens: 2}
		for i := range uint64(2) {
			call.Answer.Text += echo.Token(body(f[2]), i)
		}
		if f[0] == "late" {
			call.Answer.Latency = deadline + 1
		}
		if f[0] == "twice" {
			call.Answer.Duplicates = 1
		}
	case "receipt":
		var number int64
		_, err := fmt.Sscan(f[4], &number)
		c.Assert(err, qt.IsNil)
		call.Request.Key = f[3]
		data, err := json.Marshal(plain.Receipt{Marker: f[2], Receipt: number})
		c.Assert(err, qt.IsNil)
		call.Answer = caller.Answer{Ended: true, Whole: true, Result: data}
	default:
		c.Fatalf("unknown line %q", line)
	}
	t.Add(call)
}

// TestCounts checks the counts of each history in counts.txtar, and that a violated guarantee always has a description.
func TestCounts(t *testing.T) {
	archive, err := txtar.ParseFile("testdata/counts.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			c := qt.New(t)
			ta, b := &tally.Tally{}, &record.Recorder{}
			var want tally.Counts
			for line := range strings.Lines(string(file.Data)) {
				if data, ok := strings.CutPrefix(line, "want "); ok {
					c.Assert(json.Unmarshal([]byte(data), &want), qt.IsNil)
					continue
				}
				addLine(c, ta, b, line)
			}
			got, violations := ta.Count([]*record.Recorder{b})
			c.Assert(got, qt.Equals, want, qt.Commentf("%v", violations))
			c.Assert(len(violations) > 0, qt.Equals, got.HasViolations())
		})
	}
}

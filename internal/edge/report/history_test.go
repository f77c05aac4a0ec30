package report_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/report"
)

// TestHistory plays the cases of testdata/history.txt.
func TestHistory(t *testing.T) {
	text, err := os.ReadFile("testdata/history.txt")
	qt.Assert(t, err, qt.IsNil)
	for _, section := range strings.Split(string(text), "\n[")[1:] {
		name, steps, _ := strings.Cut(section, "]\n")
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var now time.Time
			h := report.New(func() time.Duration { return time.Second }, func() time.Time { return now })
			number := func(text string) int64 {
				n, err := strconv.ParseInt(text, 10, 64)
				c.Assert(err, qt.IsNil)
				return n
			}
			for step := range strings.Lines(steps) {
				fields := strings.Fields(step)
				if len(fields) == 0 {
					continue
				}
				now = time.Unix(number(fields[1]), 0)
				id, start, _ := strings.Cut(fields[2], "@")
				l := hosts.Lifetime{ID: id, StartedMs: 1000 * number(start)}
				switch fields[0] {
				case "report":
					c.Check(string(h.Add(l, number(fields[3]))), qt.Equals, fields[4], qt.Commentf("%s", step))
				case "left":
					h.Left(l)
				case "confirm":
					h.Confirm(l, number(fields[3]))
				default:
					c.Fatalf("unknown step %q", step)
				}
			}
		})
	}
}

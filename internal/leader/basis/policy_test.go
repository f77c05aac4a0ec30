package basis_test

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/leader/basis"
)

// TestPolicy plays the cases of testdata/policy.txt.
func TestPolicy(t *testing.T) {
	text, err := os.ReadFile("testdata/policy.txt")
	qt.Assert(t, err, qt.IsNil)
	start := time.Unix(1000, 0)
	for _, section := range strings.Split(string(text), "\n[")[1:] {
		name, steps, _ := strings.Cut(section, "]\n")
		t.Run(name, func(t *testing.T) {
			p := basis.New(func(string) time.Duration { return 15 * time.Second }, start)
			for step := range strings.Lines(steps) {
				if fields := strings.Fields(step); len(fields) > 0 {
					play(qt.New(t), p, start, fields)
				}
			}
		})
	}
}

// play carries out one step of a case.
func play(c *qt.C, p *basis.Policy, start time.Time, step []string) {
	version := func(got string, ok bool) string {
		if !ok {
			return "-"
		}
		return got
	}
	at := func(seconds string) time.Time {
		n, err := strconv.Atoi(seconds)
		c.Assert(err, qt.IsNil)
		return start.Add(time.Duration(n) * time.Second)
	}
	switch step[0] {
	case "list":
		counts := map[string]int{}
		for _, field := range step[2:] {
			name, n, _ := strings.Cut(field, "=")
			count, err := strconv.Atoi(n)
			c.Assert(err, qt.IsNil)
			counts[name] = count
		}
		p.Observe("pool", counts, at(step[1]))
	case "next":
		since := "0"
		if len(step) > 4 {
			since = step[4]
		}
		next, moves := p.Next("pool", strings.Trim(step[2], "-"), at(since), at(step[1]))
		c.Check(version(next, moves), qt.Equals, step[3], qt.Commentf("%v", step))
	case "restart":
		p.Restart(at(step[1]))
	case "only":
		c.Check(strconv.FormatBool(p.IsOnly("pool", step[1], at(step[2]))), qt.Equals, step[3], qt.Commentf("%v", step))
	case "sole":
		c.Check(version(p.Sole("pool", at(step[1]))), qt.Equals, step[2], qt.Commentf("%v", step))
	default:
		c.Fatalf("unknown step %v", step)
	}
}

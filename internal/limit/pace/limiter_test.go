package pace_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
)

// script runs the steps of one case of testdata/limits.txt.
type script struct {
	*pace.Limiter[string]
	start, now time.Time
	share      float64
}

func newScript() *script {
	s := &script{start: time.Unix(1000, 0), share: 1}
	s.Limiter = pace.New[string](pace.Options{
		Share: func() float64 { return s.share }, Now: func() time.Time { return s.now }})
	return s
}

func seconds(text string) time.Duration {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(err)
	}
	return time.Duration(f * float64(time.Second))
}

// run runs one step and returns what it lists.
func (s *script) run(words []string) string {
	s.now = s.start.Add(seconds(words[0]))
	switch words[1] {
	case "says":
		statement := pace.Statement[string]{Key: "u", At: s.now}
		if words[2] != "none" {
			statement.Limited = true
			statement.Rate, _ = strconv.ParseFloat(words[2], 64)
		}
		if len(words) > 3 {
			statement.At = s.now.Add(-seconds(words[4]))
		}
		s.Observe(statement)
	case "share":
		s.share, _ = strconv.ParseFloat(words[2], 64)
	case "spend":
		n, _ := strconv.Atoi(words[2])
		for range n {
			s.Spend("u")
		}
	case "wait":
		return s.Wait("u").String()
	case "take":
		n, _ := strconv.Atoi(words[2])
		took := 0
		for range n {
			if s.Take("u") == 0 {
				took++
			}
		}
		return fmt.Sprint(took)
	}
	return ""
}

func TestLimits(t *testing.T) {
	data, err := os.ReadFile("testdata/limits.txt")
	qt.Assert(t, err, qt.IsNil)
	for text := range strings.SplitSeq(string(data), "case: ") {
		name, steps, _ := strings.Cut(text, "\n")
		if strings.HasPrefix(name, "#") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			s := newScript()
			for line := range strings.Lines(steps) {
				step, want, _ := strings.Cut(strings.TrimSpace(line), " = ")
				if step != "" {
					qt.Check(t, s.run(strings.Fields(step)), qt.Equals, want, qt.Commentf("%s", line))
				}
			}
		})
	}
}

func TestChangesOfLimitsAreListedOnce(t *testing.T) {
	c, s := qt.New(t), newScript()
	s.now = s.start
	named := pace.Statement[string]{Key: "u", Limited: true, Rate: 2, At: s.now}
	c.Check(s.Observe(named), qt.IsTrue)
	c.Check(s.Observe(named), qt.IsFalse)
	got, last := s.Changes(0)
	c.Check(got, qt.DeepEquals, []pace.Statement[string]{named})
	got, _ = s.Changes(last)
	c.Check(got, qt.HasLen, 0)
	s.now = s.now.Add(time.Minute)
	s.Forget(func(string) bool { return false })
	c.Check(s.Limited(), qt.Equals, 0)
}

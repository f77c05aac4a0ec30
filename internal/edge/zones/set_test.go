package zones_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/zones"
)

// parseRecords parses the records of a step.
func parseRecords(words []string) []zones.Record {
	var out []zones.Record
	for _, w := range words {
		name, at, _ := strings.Cut(w, "@")
		r := zones.Record{Zone: strings.TrimPrefix(name, "-"), Evacuated: !strings.HasPrefix(name, "-")}
		_, _ = fmt.Sscanf(at, "%d/%d", &r.Era, &r.Offset)
		out = append(out, r)
	}
	return out
}

// An evacuation must neither be lost to a late, partial or restored answer, nor outlast its deletion.
func TestSets(t *testing.T) {
	data, err := os.ReadFile("testdata/sets.txt")
	qt.Assert(t, err, qt.IsNil)
	_, cases, _ := strings.Cut(string(data), "case: ")
	for text := range strings.SplitSeq(cases, "case: ") {
		name, steps, _ := strings.Cut(text, "\n")
		t.Run(name, func(t *testing.T) {
			s := zones.New()
			for line := range strings.Lines(steps) {
				words := strings.Fields(line)
				if len(words) == 0 {
					continue
				}
				if words[0] == "evacuated" {
					qt.Check(t, s.Evacuated(), qt.DeepEquals, append([]string(nil), words[2:]...))
					continue
				}
				var era, end int64
				_, _ = fmt.Sscanf(words[1], "%d/%d", &era, &end)
				switch records := parseRecords(words[2:]); words[0] {
				case "read":
					s = s.WithRecords(records).WithEnd(era, end)
				case "snapshot":
					s = s.WithAll(records, era, end)
				case "entry":
					s = s.WithRecords(records)
				}
			}
		})
	}
}

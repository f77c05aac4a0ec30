package report

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

var noon = time.Date(2026, 3, 9, 12, 0, 0, 0, time.UTC)

const nonceSuffix = "-00000000-0000-0000-0000-00000000000"

// newState returns a state with two presets, of which ordinary is in force, and one rejected record.
func newState(c *qt.C) *fold.State {
	s := fold.New()
	peak := config.Ref{Kind: config.Presets, Name: "peak"}
	ordinary := config.Ref{Kind: config.Presets, Name: "ordinary"}
	first := map[config.Ref]int64{peak: config.Absent, ordinary: config.Absent}
	presets := config.Objects{Presets: []preset.Spec{{Name: "peak"}, {Name: "ordinary"}}}
	s = apply(c, s, record.Change, "0"+nonceSuffix+"1", "ann", first, record.ChangeBody{Set: presets})
	base := map[config.Ref]int64{config.InForceRef(): config.Absent}
	s = apply(c, s, record.Preset, "1"+nonceSuffix+"2", "ann", base, record.PresetBody{Name: "ordinary"})
	return apply(c, s, record.Preset, "1"+nonceSuffix+"3", "bob", base, record.PresetBody{Name: "peak"})
}

// apply adds a record to the state.
func apply(c *qt.C, s *fold.State, k record.Kind, nonce, author string, base map[config.Ref]int64, body any) *fold.State {
	at := noon.Add(-time.Hour).Add(time.Duration(s.Offset()) * time.Minute)
	r, err := record.New(k, nonce, author, at.UnixMilli(), base, body)
	c.Assert(err, qt.IsNil)
	data, err := record.Encode(r)
	c.Assert(err, qt.IsNil)
	s, _ = s.Apply(s.Offset()+1, data)
	return s
}

// fullInput returns an input with at least one item in each section of the report.
func fullInput(c *qt.C) Input {
	s := newState(c)
	version := func(name string, offset int64, digest string, age time.Duration) Version {
		return Version{Process: name, Role: "entry", Zone: "north-a", Offset: offset, Digest: digest, Seen: noon.Add(-age)}
	}
	return Input{
		Now:       noon,
		Process:   "entry-1",
		State:     s,
		LogReadAt: noon.Add(-400 * time.Millisecond),
		Versions: []Version{
			version("entry-2", 1, s.Digest(), time.Second), // misses only the rejected record
			version("entry-3", 0, "00", time.Second),
			version("entry-4", 5, "11", time.Second),
			version("entry-5", 2, "22", time.Second),
			version("entry-6", 2, s.Digest(), time.Hour),
		},
		Unsettled:   []UnsettledPublish{{Nonce: "2" + nonceSuffix + "9", Author: "ann", Since: noon.Add(-90 * time.Second)}},
		Upstreams:   []Upstream{{Name: "engine-7", Pool: "engines", Zone: "north-b", State: Ejected, Since: noon.Add(-time.Minute), Reason: "5 errors in a row"}},
		Quarantined: []Mark{{Fingerprint: "ab12", Crashes: []string{"engine-7/3", "engine-8/1"}, Until: noon.Add(time.Hour)}},
		Actions:     []Action{{Key: "0195", Service: "ledger", Since: noon.Add(-time.Minute), Reason: "side engine-9 died"}},
	}
}

func TestText(t *testing.T) {
	c := qt.New(t)
	want, err := os.ReadFile("testdata/handover.txt")
	c.Assert(err, qt.IsNil)
	c.Assert(New(fullInput(c)).Text(), qt.Equals, string(want))
}

func TestEmptyReport(t *testing.T) {
	c := qt.New(t)
	r := New(Input{Now: noon, Process: "entry-1", State: fold.New(), NotReady: "no configuration yet"})
	want, err := os.ReadFile("testdata/empty.txt")
	c.Assert(err, qt.IsNil)
	c.Assert(r.Text(), qt.Equals, string(want))
	data, err := json.Marshal(r)
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(string(data), "null"), qt.IsFalse, qt.Commentf("%s", data))
}

func TestLaggards(t *testing.T) {
	c := qt.New(t)
	got := map[string]Lag{}
	for _, l := range New(fullInput(c)).Laggards {
		got[l.Process] = l.Lag
	}
	c.Assert(got, qt.DeepEquals, map[string]Lag{
		"entry-3": Behind, "entry-4": Ahead, "entry-5": Diverged, "entry-6": Silent,
	})
}

func TestProquint(t *testing.T) {
	c := qt.New(t)
	// Examples from the proquint proposal.
	c.Assert(DigestProquint("7f000001"), qt.Equals, "lusab-babad")
	c.Assert(DigestProquint("3f54dcc1ffff"), qt.Equals, "gutih-tugad")
	c.Assert(DigestProquint("7f00"), qt.Equals, "")
	c.Assert(DigestProquint("digest"), qt.Equals, "")
}

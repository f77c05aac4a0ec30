package fold

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

// scriptedRecord is one record of the stream in testdata/rejections.yaml.
type scriptedRecord struct {
	ID       uint64           `yaml:"id"`
	Next     int64            `yaml:"next"`
	What     string           `yaml:"what"`
	Kind     record.Kind      `yaml:"kind"`
	Set      config.Objects   `yaml:"set"`
	Remove   []config.Ref     `yaml:"remove"`
	Preset   string           `yaml:"preset"`
	Void     uint64           `yaml:"void"`
	Snapshot int64            `yaml:"snapshot"`
	Base     map[string]int64 `yaml:"base"`
	Code     Code             `yaml:"code"`
}

// encode encodes the record that the fields of l describe.
func (l scriptedRecord) encode(c *qt.C) []byte {
	base := map[config.Ref]int64{}
	for text, revision := range l.Base {
		ref, err := config.ParseRef(text)
		c.Assert(err, qt.IsNil)
		base[ref] = revision
	}
	n := nonce(l.Next, l.ID)
	switch {
	case l.Kind != "":
		return encode(c, l.Kind, n, base, struct{}{})
	case l.Preset != "":
		return encode(c, record.Preset, n, base, record.PresetBody{Name: l.Preset})
	case l.Void > 0:
		return encode(c, record.Void, n, base, record.VoidBody{Nonce: nonce(0, l.Void)})
	case l.Snapshot > 0:
		return encode(c, record.Snapshot, n, base, record.SnapshotBody{Offset: l.Snapshot})
	}
	return encode(c, record.Change, n, base, record.ChangeBody{Set: l.Set, Remove: l.Remove})
}

func readScript(c *qt.C) []scriptedRecord {
	data, err := os.ReadFile("testdata/rejections.yaml")
	c.Assert(err, qt.IsNil)
	var lines []scriptedRecord
	c.Assert(yaml.UnmarshalWithOptions(data, &lines, yaml.Strict()), qt.IsNil)
	return lines
}

func TestRejections(t *testing.T) {
	c := qt.New(t)
	s := New()
	for i, l := range readScript(c) {
		comment := qt.Commentf("offset %d: %s", i, l.What)
		before := s
		next, rejection := s.Apply(int64(i), l.encode(c))
		s = next
		c.Assert(s.Offset(), qt.Equals, int64(i), comment)
		c.Assert(s.Config().Validate(), qt.HasLen, 0, comment)
		if l.Code == "" {
			c.Assert(rejection, qt.IsNil, comment)
			continue
		}
		c.Assert(rejection, qt.IsNotNil, comment)
		c.Assert(rejection.Code, qt.Equals, l.Code, comment)
		c.Assert(rejection.Offset, qt.Equals, int64(i), comment)
		c.Assert(s.Digest(), qt.Equals, before.Digest(), comment)
		c.Assert(s.Revision(), qt.Equals, before.Revision(), comment)
	}
	c.Assert(s.PresetInForce().Name, qt.Equals, "peak")
	c.Assert(s.PresetInForce().Revision, qt.Equals, int64(18))
	c.Assert(s.Snapshot(), qt.Equals, SnapshotRef{Covers: 20, Offset: 28, TimeMs: 1700000000000})
	last := s.Changes()[len(s.Changes())-1]
	c.Assert(last.Names, qt.DeepEquals, []string{"presets/peak"})
	c.Assert(last.Author, qt.Equals, "ann")
	d, ok := s.Decision(nonce(0, 24))
	c.Assert(ok, qt.IsTrue)
	c.Assert(d.Code, qt.Equals, Voided)
}

func TestUnreadableRecordsAdvanceTheOffsetOnly(t *testing.T) {
	c := qt.New(t)
	s := stateWithTeams(c, 10)
	good := change(c, s, config.Objects{Teams: teamList(1, 0.1)})
	flipped := bytes.Clone(good)
	flipped[20] ^= 1
	newer := encode(c, record.Change, nonce(0, 1), nil, record.ChangeBody{})
	var r record.Record
	c.Assert(json.Unmarshal(newer, &r), qt.IsNil)
	r.Format = record.Format + 1
	newer, err := record.Encode(r)
	c.Assert(err, qt.IsNil)
	for _, test := range []struct {
		data []byte
		code Code
	}{
		{nil, Truncated}, {good[:len(good)-3], Truncated}, {flipped, Corrupt}, {newer, NewerFormat},
	} {
		next, rejection := s.Apply(s.Offset()+1, test.data)
		c.Assert(rejection.Code, qt.Equals, test.code)
		c.Assert(next.Offset(), qt.Equals, s.Offset()+1)
		c.Assert(next.Digest(), qt.Equals, s.Digest())
		s = next
	}
}

func TestOutOfOrderRecordIsRejected(t *testing.T) {
	c := qt.New(t)
	s := stateWithTeams(c, 10)
	data := change(c, s, config.Objects{Teams: teamList(1, 0.1)})
	for _, offset := range []int64{-1, 0, s.Offset(), s.Offset() + 2} {
		next, rejection := s.Apply(offset, data)
		c.Assert(next, qt.Equals, s)
		c.Assert(rejection.Code, qt.Equals, OutOfOrder)
	}
}

func TestStatesAreImmutable(t *testing.T) {
	c := qt.New(t)
	s := stateWithTeams(c, 100)
	before, err := json.Marshal(s.Image())
	c.Assert(err, qt.IsNil)
	one := mustApply(c, s, change(c, s, config.Objects{Teams: teamList(1, 0.1)}))
	two := mustApply(c, s, change(c, s, config.Objects{Teams: teamList(2, 0.1)}))
	c.Assert(one.Digest(), qt.Not(qt.Equals), two.Digest())
	c.Assert(one.Config().Teams["team-0002"].Share, qt.Equals, 0.0002)
	after, err := json.Marshal(s.Image())
	c.Assert(err, qt.IsNil)
	c.Assert(string(after), qt.Equals, string(before))
}

func TestDigestCoversRevisions(t *testing.T) {
	c := qt.New(t)
	s := stateWithTeams(c, 10)
	same := mustApply(c, s, change(c, s, config.Objects{Teams: teamList(1, 0.0002)}))
	c.Assert(same.Config(), qt.DeepEquals, s.Config())
	c.Assert(same.Digest(), qt.Not(qt.Equals), s.Digest())
}

// A copy of a record that arrives after the decision on it was evicted must not be applied a second time.
func TestForgottenNonceIsStale(t *testing.T) {
	c := qt.New(t)
	s := New()
	first := encode(c, record.Change, nonce(0, 1), map[config.Ref]int64{{Kind: config.Teams, Name: "team-0001"}: -1},
		record.ChangeBody{Set: config.Objects{Teams: unrestrictedTeam(1)}})
	s = mustApply(c, s, first)
	ref := config.Ref{Kind: config.Teams, Name: "team-0001"}
	s = mustApply(c, s, encode(c, record.Change, nonce(1, 2), map[config.Ref]int64{ref: 0},
		record.ChangeBody{Remove: []config.Ref{ref}}))
	for id := uint64(3); s.Remembers(nonce(0, 1)); id++ {
		s, _ = s.Apply(s.Offset()+1, encode(c, record.Change, nonce(s.Offset()+1, id), nil, record.ChangeBody{}))
	}
	c.Assert(s.Offset() >= generationSize, qt.IsTrue)
	c.Assert(s.Offset() <= 3*generationSize, qt.IsTrue)
	next, rejection := s.Apply(s.Offset()+1, first)
	c.Assert(rejection, qt.IsNotNil)
	c.Assert(rejection.Code, qt.Equals, Stale)
	c.Assert(next.Size(config.Teams), qt.Equals, 0)
	_, rejection = next.Apply(next.Offset()+1, encode(c, record.Void, nonce(next.Offset()+1, 1<<40), nil,
		record.VoidBody{Nonce: nonce(0, 1)}))
	c.Assert(rejection.Code, qt.Equals, Stale)
}

func TestImageRestoresAll(t *testing.T) {
	c := qt.New(t)
	s := stateWithTeams(c, 60)
	for i, l := range readScript(c) {
		l.Next = 0
		s, _ = s.Apply(s.Offset()+1, l.encode(c))
		im := s.Image()
		data, err := json.Marshal(im)
		c.Assert(err, qt.IsNil)
		var back Image
		c.Assert(json.Unmarshal(data, &back), qt.IsNil)
		restored, err := FromImage(back)
		c.Assert(err, qt.IsNil)
		again, err := json.Marshal(restored.Image())
		c.Assert(err, qt.IsNil)
		c.Assert(string(again), qt.Equals, string(data), qt.Commentf("line %d", i))
		c.Assert(restored.Digest(), qt.Equals, s.Digest())
		c.Assert(restored.shareTotals, qt.DeepEquals, s.shareTotals)
		c.Assert(restored.tokenOwners.Len(), qt.Equals, s.tokenOwners.Len())
	}
}

func TestImageWithDuplicates(t *testing.T) {
	c := qt.New(t)
	im := stateWithTeams(c, 2).Image()
	im.Teams = append(im.Teams, im.Teams[0])
	_, err := FromImage(im)
	c.Assert(err, qt.ErrorMatches, `snapshot at offset 1 names an object twice`)
	im.Teams[2].Spec.Name = "other"
	_, err = FromImage(im)
	c.Assert(err, qt.ErrorMatches, `snapshot at offset 1: teams/.*: tokenDigest: a token of its own.*`)
}

func FuzzApply(f *testing.F) {
	c := qt.New(f)
	s := stateWithTeams(c, 3)
	f.Add("change", `{"set":{"teams":[{"name":"team-0001","share":1e300}]}}`)
	f.Add("preset", `{"name":"peak"}`)
	f.Add("void", `{"nonce":"0-00000000-0000-0000-0000-000000000000"}`)
	f.Add("snapshot", `{"offset":0,"revision":0,"digest":"","state":""}`)
	f.Add("change", `{"set":{"presets":[{"name":"peak","shares":{"team-0001":-0}}]},"remove":["pools/engines"]}`)
	f.Fuzz(func(t *testing.T, kind, payload string) {
		if !json.Valid([]byte(payload)) {
			t.Skip()
		}
		base := map[config.Ref]int64{}
		var body record.ChangeBody
		if json.Unmarshal([]byte(payload), &body) == nil {
			for _, ref := range append(body.Set.Refs(), body.Remove...) {
				base[ref] = s.Meta(ref).Revision
			}
		}
		base[config.InForceRef()] = s.PresetInForce().Revision
		data, err := record.Encode(record.Record{
			Format: record.Format, Kind: record.Kind(kind), Nonce: nonce(0, 99), Base: base, Payload: []byte(payload),
		})
		if err != nil {
			t.Skip() // a name that is not a valid reference
		}
		next, rejection := s.Apply(s.Offset()+1, data)
		if next.Offset() != s.Offset()+1 {
			t.Fatalf("offset is %d", next.Offset())
		}
		if problems := next.Config().Validate(); len(problems) > 0 {
			t.Fatalf("accepted although invalid: %v", problems)
		}
		if rejection != nil && next.Digest() != s.Digest() {
			t.Fatalf("rejected (%s) but changed", rejection)
		}
		if restored, err := FromImage(next.Image()); err != nil || restored.Digest() != next.Digest() {
			t.Fatalf("cannot be restored: %v", err)
		}
	})
}

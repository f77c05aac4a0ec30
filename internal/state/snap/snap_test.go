package snap

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

const nonce = "0-00000000-0000-0000-0000-000000000001"

func sample(c *qt.C) *fold.State {
	ref := config.Ref{Kind: config.Presets, Name: "peak"}
	body := record.ChangeBody{Set: config.Objects{Presets: []preset.Spec{{Name: "peak"}}}}
	r, err := record.New(record.Change, nonce, "ann", 1, map[config.Ref]int64{ref: config.Absent}, body)
	c.Assert(err, qt.IsNil)
	data, err := record.Encode(r)
	c.Assert(err, qt.IsNil)
	s, rejection := fold.New().Apply(0, data)
	c.Assert(rejection, qt.IsNil)
	return s
}

func TestRoundTrip(t *testing.T) {
	c := qt.New(t)
	for _, s := range []*fold.State{fold.New(), sample(c)} {
		data, err := Encode(s)
		c.Assert(err, qt.IsNil)
		back, err := Decode(data)
		c.Assert(err, qt.IsNil)
		c.Assert(back.Image(), qt.DeepEquals, s.Image())
		c.Assert(back.Digest(), qt.Equals, s.Digest())
	}
}

func TestInconsistentSnapshotIsRefused(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		name string
		harm func(*record.SnapshotBody)
		want string
	}{
		{"offset", func(b *record.SnapshotBody) { b.Offset++ }, `snapshot says offset 1, .*`},
		{"revision", func(b *record.SnapshotBody) { b.Revision++ }, `snapshot says offset 0, revision 1.*`},
		{"digest", func(b *record.SnapshotBody) { b.Digest = "x" }, `snapshot says .* digest x; .*`},
		{"cut", func(b *record.SnapshotBody) { b.State = b.State[:len(b.State)/2] }, `unpack the snapshot at offset 0: .*EOF`},
		{"flipped", func(b *record.SnapshotBody) { b.State[len(b.State)-6] ^= 1 }, `unpack .* checksum.*`},
		{"empty", func(b *record.SnapshotBody) { b.State = nil }, `unpack .*EOF`},
	} {
		c.Run(test.name, func(c *qt.C) {
			body, err := NewBody(sample(c))
			c.Assert(err, qt.IsNil)
			test.harm(&body)
			data, err := json.Marshal(body)
			c.Assert(err, qt.IsNil)
			_, err = Decode(data)
			c.Assert(err, qt.ErrorMatches, test.want)
		})
	}
}

// Target size: 3,500 teams. Control traffic may use 6,000 bytes per second, and hourly snapshots a tenth of that.
const (
	allTeams         = 3500
	maxSnapshotBytes = 6000 * 3600 / 10
)

func TestSnapshotAtTargetSize(t *testing.T) {
	c := qt.New(t)
	im := fold.New().Image()
	for i := range allTeams {
		token := sha256.Sum256(fmt.Append(nil, i))
		im.Teams = append(im.Teams, fold.Object[team.Spec]{
			Meta: fold.Meta{Revision: int64(i), Author: "operator", TimeMs: int64(i) * 40_000},
			Spec: team.Spec{
				Name:        fmt.Sprintf("team-%04d", i),
				TokenDigest: hex.EncodeToString(token[:]),
				Share:       0.0002,
				Pipelines:   []string{fmt.Sprint("pipeline-", i%20), fmt.Sprint("pipeline-", i%19)},
			},
		})
	}
	s, err := fold.FromImage(im)
	c.Assert(err, qt.IsNil)
	data, err := Encode(s)
	c.Assert(err, qt.IsNil)
	t.Logf("snapshot of %d teams: %d bytes", allTeams, len(data))
	c.Assert(len(data) < maxSnapshotBytes, qt.IsTrue)
	back, err := Decode(data)
	c.Assert(err, qt.IsNil)
	c.Assert(back.Digest(), qt.Equals, s.Digest())
}

func BenchmarkBody(b *testing.B) {
	s := sample(qt.New(b))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NewBody(s); err != nil {
			b.Fatal(err)
		}
	}
}

package fold

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

// nonce returns the nonce with a number instead of a random ID.
func nonce(next int64, id uint64) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[8:], id)
	return record.NewNonce(next, u)
}

func encode(c testingC, kind record.Kind, nonce string, base map[config.Ref]int64, body any) []byte {
	r, err := record.New(kind, nonce, "ann", 1700000000000, base, body)
	c.Assert(err, qt.IsNil)
	data, err := record.Encode(r)
	c.Assert(err, qt.IsNil)
	return data
}

// testingC is the part of qt.C that helpers need, for tests, benchmarks and fuzz targets.
type testingC interface {
	Assert(got any, checker qt.Checker, args ...any) bool
}

// change encodes a record that sets o, based on the current revisions of s.
func change(c testingC, s *State, o config.Objects) []byte {
	base := map[config.Ref]int64{}
	for _, ref := range o.Refs() {
		base[ref] = s.Meta(ref).Revision
	}
	next := s.Offset() + 1
	return encode(c, record.Change, nonce(next, uint64(next)), base, record.ChangeBody{Set: o})
}

// newTeam returns the i-th team, which may call two pipelines.
func newTeam(i int, share float64) team.Spec {
	token := sha256.Sum256(fmt.Appendf(nil, "token %d", i))
	return team.Spec{
		Name:        fmt.Sprintf("team-%04d", i),
		TokenDigest: hex.EncodeToString(token[:]),
		Share:       share,
		Pipelines: []string{
			fmt.Sprintf("pipeline-%d", i%targetPipelines), fmt.Sprintf("pipeline-%d", (i+1)%targetPipelines)},
	}
}

// Number of objects at the target size.
const (
	targetModels    = 10
	targetPipelines = 20
	targetTeams     = 3500
)

// stateWithTeams returns a state with the pipelines and models of the target size and the given number of teams.
func stateWithTeams(c testingC, teams int) *State {
	yes := true
	var o config.Objects
	engines := pool.Spec{Name: "engines", Kind: pool.Engine}
	runners := map[string]int{}
	for i := range targetModels {
		engines.Models = append(engines.Models, fmt.Sprintf("model-%d", i))
		runners[engines.Models[i]] = 66
	}
	o.Pools = []pool.Spec{engines, {Name: "encoders", Kind: pool.Stage}}
	lines := map[string]preset.PipelineSettings{}
	for i := range targetPipelines {
		first, last := fmt.Sprintf("encode-%d", i), fmt.Sprintf("generate-%d", i)
		o.Stages = append(o.Stages,
			stage.Spec{Name: first, Kind: stage.Encode, Pool: "encoders", Repeatable: &yes},
			stage.Spec{Name: last, Kind: stage.Generate, Pool: "engines",
				Model: engines.Models[i%targetModels], Repeatable: &yes})
		p := pipe.Spec{Name: fmt.Sprintf("pipeline-%d", i), Stages: []string{first, last}, DeadlineMs: 11000}
		o.Pipelines = append(o.Pipelines, p)
		lines[p.Name] = preset.PipelineSettings{Weight: 1}
	}
	for _, name := range []string{"ordinary", "peak", "maintenance"} {
		o.Presets = append(o.Presets, preset.Spec{Name: name, Pipelines: lines, Runners: runners})
	}
	s := mustApply(c, New(), change(c, New(), o))
	for i := 0; i < teams; i += 50 {
		var o config.Objects
		for at := i; at < min(i+50, teams); at++ {
			o.Teams = append(o.Teams, newTeam(at, 0.0002))
		}
		s = mustApply(c, s, change(c, s, o))
	}
	return s
}

// mustApply applies a record that must be accepted.
func mustApply(c testingC, s *State, data []byte) *State {
	next, rejection := s.Apply(s.Offset()+1, data)
	c.Assert(rejection, qt.IsNil)
	return next
}

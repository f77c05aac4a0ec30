package fold

import (
	"encoding/hex"
	"encoding/json"
	"slices"
	"sync"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/pipe"
	"github.com/ragworthatch/ragworthatch/internal/model/pool"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
	"github.com/ragworthatch/ragworthatch/internal/model/stage"
	"github.com/ragworthatch/ragworthatch/internal/model/team"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
	"github.com/ragworthatch/ragworthatch/internal/state/trie"
)

// PresetInForce is the name of the preset in force and the metadata of the record that chose it.
type PresetInForce struct {
	Meta
	Name string `json:"name"` // empty before the first choice
}

// SnapshotRef describes the last snapshot record.
type SnapshotRef struct {
	Covers int64 `json:"covers"` // last offset included in the snapshot
	Offset int64 `json:"offset"` // offset of the snapshot record, -1 if there is none
	TimeMs int64 `json:"timeMs"` // Unix time of the author's clock, in milliseconds
}

// State is the configuration after applying a prefix of the stream; it is immutable and safe for concurrent use.
type State struct {
	offset    int64
	revision  int64
	pools     *table[pool.Spec]
	stages    *table[stage.Spec]
	pipelines *table[pipe.Spec]
	presets   *table[preset.Spec]
	teams     *table[team.Spec]
	inForce   PresetInForce
	decisions decisionHistory
	changes   []Change
	snapshot  SnapshotRef

	tokenOwners *trie.Map[string] // team name by token digest
	shareTotals map[string]int64  // sum of the teams' shares by preset name; "" is the sum without a preset

	digest func() string
}

// New returns the empty state, before the first record.
func New() *State {
	s := State{
		offset:      -1,
		revision:    -1,
		pools:       newTable(&trie.Map[*Object[pool.Spec]]{}),
		stages:      newTable(&trie.Map[*Object[stage.Spec]]{}),
		pipelines:   newTable(&trie.Map[*Object[pipe.Spec]]{}),
		presets:     newTable(&trie.Map[*Object[preset.Spec]]{}),
		teams:       newTable(&trie.Map[*Object[team.Spec]]{}),
		inForce:     PresetInForce{Meta: Meta{Revision: config.Absent}},
		decisions:   newDecisionHistory(),
		snapshot:    SnapshotRef{Covers: -1, Offset: -1},
		tokenOwners: &trie.Map[string]{},
		shareTotals: map[string]int64{"": 0},
	}
	return s.withLazyDigest()
}

// withLazyDigest returns the state with a digest that is computed on first use and cached.
func (s State) withLazyDigest() *State {
	s.digest = sync.OnceValue(s.computeDigest)
	return &s
}

// computeDigest returns a hash of all objects, the revision and the preset in force.
func (s State) computeDigest() string {
	inForce, _ := json.Marshal(s.inForce) // cannot fail: strings and integers
	revision, _ := json.Marshal(s.revision)
	pools, stages := s.pools.objects.Digest(), s.stages.objects.Digest()
	pipelines, presets := s.pipelines.objects.Digest(), s.presets.objects.Digest()
	teams := s.teams.objects.Digest()
	all := hashParts(pools[:], stages[:], pipelines[:], presets[:], teams[:], revision, inForce)
	return hex.EncodeToString(all[:])
}

// Offset returns the last offset applied, -1 before the first record.
func (s *State) Offset() int64 { return s.offset }

// Revision returns the offset of the last record that changed the configuration, -1 if there is none.
func (s *State) Revision() int64 { return s.revision }

// Digest returns the hex SHA-256 of the configuration with its revisions; readers at the same revision have the same
// digest.
func (s *State) Digest() string { return s.digest() }

// Config returns the declarations; the map of a kind is rebuilt only after that kind has changed.
func (s *State) Config() config.Set {
	return config.Set{
		Pools:     s.pools.specs(),
		Stages:    s.stages.specs(),
		Pipelines: s.pipelines.specs(),
		Presets:   s.presets.specs(),
		Teams:     s.teams.specs(),
		InForce:   s.inForce.Name,
	}
}

// configWithoutTeams returns the declarations without the teams, whose map is expensive to build.
func (s *State) configWithoutTeams() config.Set {
	return config.Set{
		Pools:     s.pools.specs(),
		Stages:    s.stages.specs(),
		Pipelines: s.pipelines.specs(),
		Presets:   s.presets.specs(),
		InForce:   s.inForce.Name,
	}
}

// Changes returns the most recent accepted records, oldest first.
func (s *State) Changes() []Change { return slices.Clone(s.changes) }

// PresetInForce returns the preset in force and the record that chose it.
func (s *State) PresetInForce() PresetInForce { return s.inForce }

// Snapshot returns the last snapshot record applied.
func (s *State) Snapshot() SnapshotRef { return s.snapshot }

// Decision returns the decision on the record with a nonce; false means not decided yet, or evicted from the history.
func (s *State) Decision(nonce string) (Decision, bool) { return s.decisions.get(nonce) }

// Remembers reports whether a decision on this nonce, if there was one, is still in the history.
func (s *State) Remembers(nonce string) bool { return s.decisions.remembers(nonce) }

// Meta describes the record that last set an object; its revision is config.Absent if there is no such object.
func (s *State) Meta(ref config.Ref) Meta {
	var m Meta
	switch ref.Kind {
	case config.Pools:
		m, _ = s.pools.meta(ref.Name)
	case config.Stages:
		m, _ = s.stages.meta(ref.Name)
	case config.Pipelines:
		m, _ = s.pipelines.meta(ref.Name)
	case config.Presets:
		m, _ = s.presets.meta(ref.Name)
	case config.Teams:
		m, _ = s.teams.meta(ref.Name)
	case config.InForce:
		m = s.inForce.Meta
	default:
		m.Revision = config.Absent
	}
	return m
}

// Spec returns the declaration of an object; for config.InForce it is the name of the preset in force.
func (s *State) Spec(ref config.Ref) (any, bool) {
	switch ref.Kind {
	case config.Pools:
		return s.pools.spec(ref.Name)
	case config.Stages:
		return s.stages.spec(ref.Name)
	case config.Pipelines:
		return s.pipelines.spec(ref.Name)
	case config.Presets:
		return s.presets.spec(ref.Name)
	case config.Teams:
		return s.teams.spec(ref.Name)
	case config.InForce:
		return s.inForce.Name, s.inForce.Name != ""
	}
	return nil, false
}

// Refs returns references to all objects, ordered by kind and then by name.
func (s *State) Refs() []config.Ref {
	var refs []config.Ref
	refs = append(refs, s.pools.refs(config.Pools)...)
	refs = append(refs, s.stages.refs(config.Stages)...)
	refs = append(refs, s.pipelines.refs(config.Pipelines)...)
	refs = append(refs, s.presets.refs(config.Presets)...)
	return append(refs, s.teams.refs(config.Teams)...)
}

// Size returns the number of objects of a kind.
func (s *State) Size(k config.Kind) int {
	switch k {
	case config.Pools:
		return s.pools.objects.Len()
	case config.Stages:
		return s.stages.objects.Len()
	case config.Pipelines:
		return s.pipelines.objects.Len()
	case config.Presets:
		return s.presets.objects.Len()
	case config.Teams:
		return s.teams.objects.Len()
	}
	return 0
}

func poolName(p pool.Spec) string         { return p.Name }
func stageName(s stage.Spec) string       { return s.Name }
func pipelineName(p pipe.Spec) string     { return p.Name }
func presetName(p preset.Spec) string     { return p.Name }
func teamName(t team.Spec) string         { return t.Name }
func isSnapshot(r record.Record) bool     { return r.Kind == record.Snapshot }
func (s *State) hasTeam(name string) bool { return s.teams.has(name) }

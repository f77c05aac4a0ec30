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

// Pointer is the preset in force and the record that chose it.
type Pointer struct {
	Meta
	Name string `json:"name"` // empty before the first choice
}

// Mark is the last snapshot record.
type Mark struct {
	Covers int64 `json:"covers"` // the snapshot holds all records up to this offset
	Offset int64 `json:"offset"` // of the snapshot record, -1 if there is none
	TimeMs int64 `json:"timeMs"` // Unix time of the author's clock, in milliseconds
}

// State is the configuration after a prefix of the stream; it is immutable and safe for concurrent use.
type State struct {
	offset    int64
	revision  int64
	pools     *kind[pool.Spec]
	stages    *kind[stage.Spec]
	pipelines *kind[pipe.Spec]
	presets   *kind[preset.Spec]
	teams     *kind[team.Spec]
	inForce   Pointer
	memory    memory
	changes   []Change
	snapshot  Mark

	owners *trie.Map[string] // team by token digest
	shares map[string]int64  // total by preset, and for the empty name without any

	digest func() string
}

// New returns the state before the first record.
func New() *State {
	s := State{
		offset:    -1,
		revision:  -1,
		pools:     newKind(&trie.Map[*Object[pool.Spec]]{}),
		stages:    newKind(&trie.Map[*Object[stage.Spec]]{}),
		pipelines: newKind(&trie.Map[*Object[pipe.Spec]]{}),
		presets:   newKind(&trie.Map[*Object[preset.Spec]]{}),
		teams:     newKind(&trie.Map[*Object[team.Spec]]{}),
		inForce:   Pointer{Meta: Meta{Revision: config.Absent}},
		memory:    newMemory(),
		snapshot:  Mark{Covers: -1, Offset: -1},
		owners:    &trie.Map[string]{},
		shares:    map[string]int64{"": 0},
	}
	return s.sealed()
}

// sealed returns the finished state with its digest to be computed once, when first asked for.
func (s State) sealed() *State {
	s.digest = sync.OnceValue(s.sum)
	return &s
}

func (s State) sum() string {
	pointer, _ := json.Marshal(s.inForce) // cannot fail: texts and whole numbers
	revision, _ := json.Marshal(s.revision)
	pools, stages := s.pools.objects.Digest(), s.stages.objects.Digest()
	pipelines, presets := s.pipelines.objects.Digest(), s.presets.objects.Digest()
	teams := s.teams.objects.Digest()
	all := sum(pools[:], stages[:], pipelines[:], presets[:], teams[:], revision, pointer)
	return hex.EncodeToString(all[:])
}

// Offset is the last offset folded, -1 at the start.
func (s *State) Offset() int64 { return s.offset }

// Revision is the offset of the last record that changed the configuration, -1 at the start.
func (s *State) Revision() int64 { return s.revision }

// Digest is the hex SHA-256 of the configuration with its revisions; equal revisions have equal digests in all readers.
func (s *State) Digest() string { return s.digest() }

// Config returns the declarations; they are collected once per kind that changed.
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

// structure returns the declarations without the teams.
func (s *State) structure() config.Set {
	return config.Set{
		Pools:     s.pools.specs(),
		Stages:    s.stages.specs(),
		Pipelines: s.pipelines.specs(),
		Presets:   s.presets.specs(),
		InForce:   s.inForce.Name,
	}
}

// Changes returns the last accepted records, oldest first.
func (s *State) Changes() []Change { return slices.Clone(s.changes) }

// PresetSince says which preset is in force and which record chose it.
func (s *State) PresetSince() Pointer { return s.inForce }

// Snapshot is the last snapshot record folded.
func (s *State) Snapshot() Mark { return s.snapshot }

// Nonce returns the decision on the record with a nonce; false means not decided yet, or no longer remembered.
func (s *State) Nonce(nonce string) (Decision, bool) { return s.memory.get(nonce) }

// Remembers says whether Nonce would still know a decision on this nonce.
func (s *State) Remembers(nonce string) bool { return s.memory.covers(nonce) }

// Meta returns the record that set an object; its revision is config.Absent if there is no such object.
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

// Spec returns the declaration of an object; for the pointer it is the name of the preset in force.
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

// Refs names all objects, by kind and name.
func (s *State) Refs() []config.Ref {
	var refs []config.Ref
	refs = append(refs, s.pools.refs(config.Pools)...)
	refs = append(refs, s.stages.refs(config.Stages)...)
	refs = append(refs, s.pipelines.refs(config.Pipelines)...)
	refs = append(refs, s.presets.refs(config.Presets)...)
	return append(refs, s.teams.refs(config.Teams)...)
}

// Size is the number of objects of a kind.
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

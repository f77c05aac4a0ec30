package publish

import (
	"maps"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

// naiveState is a simple reference implementation of fold.State: it copies and validates everything on each change and
// evicts nothing.
type naiveState struct {
	set       config.Set
	revisions map[config.Ref]int64
	decisions map[string]bool // accepted, by nonce
	last      int64           // revision of the configuration
}

func newNaiveState() naiveState {
	return naiveState{set: config.Objects{}.Set(), revisions: map[config.Ref]int64{}, decisions: map[string]bool{},
		last: -1}
}

func (n naiveState) clone() naiveState {
	n.set.Pools = maps.Clone(n.set.Pools)
	n.set.Stages = maps.Clone(n.set.Stages)
	n.set.Pipelines = maps.Clone(n.set.Pipelines)
	n.set.Presets = maps.Clone(n.set.Presets)
	n.set.Teams = maps.Clone(n.set.Teams)
	n.revisions = maps.Clone(n.revisions)
	n.decisions = maps.Clone(n.decisions)
	return n
}

func (n naiveState) revision(ref config.Ref) int64 {
	if r, ok := n.revisions[ref]; ok {
		return r
	}
	return config.Absent
}

// apply returns the state after the record at offset.
func (n naiveState) apply(offset int64, data []byte) naiveState {
	r, err := record.Decode(data)
	if err != nil || r.Kind == record.Snapshot {
		return n
	}
	next, err := record.NonceOffset(r.Nonce)
	if _, decided := n.decisions[r.Nonce]; decided || err != nil || next > offset {
		return n
	}
	after, ok := n.clone().applyDecoded(offset, r)
	if !ok {
		after = n.clone()
	}
	after.decisions[r.Nonce] = ok
	return after
}

// applyDecoded applies a decoded record in place and reports whether it is accepted; otherwise the result is not valid.
func (n naiveState) applyDecoded(offset int64, r record.Record) (naiveState, bool) {
	for ref, base := range r.Base {
		if n.revision(ref) != base {
			return n, false
		}
	}
	switch r.Kind {
	case record.Void:
		var body record.VoidBody
		err := record.DecodeStrict(r.Payload, &body)
		_, decided := n.decisions[body.Nonce]
		if err != nil || decided {
			return n, false
		}
		n.decisions[body.Nonce] = false
		return n, true
	case record.Preset:
		var body record.PresetBody
		if record.DecodeStrict(r.Payload, &body) != nil {
			return n, false
		}
		if _, ok := n.set.Presets[body.Name]; !ok {
			return n, false
		}
		n.set.InForce = body.Name
		n.revisions[config.InForceRef()] = offset
		n.last = offset
		return n, true
	case record.Change:
		return n.change(offset, r)
	}
	return n, false
}

func (n naiveState) change(offset int64, r record.Record) (naiveState, bool) {
	var body record.ChangeBody
	if record.DecodeStrict(r.Payload, &body) != nil {
		return n, false
	}
	touched := map[config.Ref]bool{}
	for _, ref := range append(body.Set.Refs(), body.Remove...) {
		if _, based := r.Base[ref]; !based || touched[ref] {
			return n, false
		}
		touched[ref] = true
	}
	if len(touched) == 0 {
		return n, false
	}
	for _, ref := range body.Remove {
		if n.revision(ref) == config.Absent {
			return n, false
		}
		delete(n.revisions, ref)
		delete(n.set.Pools, nameOfKind(ref, config.Pools))
		delete(n.set.Stages, nameOfKind(ref, config.Stages))
		delete(n.set.Pipelines, nameOfKind(ref, config.Pipelines))
		delete(n.set.Presets, nameOfKind(ref, config.Presets))
		delete(n.set.Teams, nameOfKind(ref, config.Teams))
	}
	for _, p := range body.Set.Pools {
		n.set = n.set.WithPool(p)
	}
	for _, s := range body.Set.Stages {
		n.set = n.set.WithStage(s)
	}
	for _, p := range body.Set.Pipelines {
		n.set = n.set.WithPipeline(p)
	}
	for _, p := range body.Set.Presets {
		n.set = n.set.WithPreset(p)
	}
	for _, t := range body.Set.Teams {
		n.set = n.set.WithTeam(t)
	}
	for _, ref := range body.Set.Refs() {
		n.revisions[ref] = offset
	}
	n.last = offset
	return n, len(n.set.Validate()) == 0
}

// nameOfKind returns the name in a reference of the given kind, empty for other kinds.
func nameOfKind(ref config.Ref, kind config.Kind) string {
	if ref.Kind != kind {
		return ""
	}
	return ref.Name
}

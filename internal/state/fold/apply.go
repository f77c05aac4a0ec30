package fold

import (
	"errors"
	"slices"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

// Apply applies the record at offset, which must be the next one; the rejection is nil if the record was accepted.
// The returned state has advanced to offset in either case, unless the offset is out of order.
func (s *State) Apply(offset int64, data []byte) (*State, *Rejection) {
	if offset != s.offset+1 {
		r := newMalformed("offset %d does not follow %d", offset, s.offset)
		r.Code = OutOfOrder
		r.Offset = offset
		return s, r
	}
	next := *s
	next.offset = offset
	r, err := record.Decode(data)
	if err != nil {
		return next.withLazyDigest(), decodeRejection(offset, err)
	}
	rejection := next.applyRecord(offset, r)
	if rejection != nil {
		rejection.Offset = offset
		rejection.Nonce = r.Nonce
		rejection.Author = r.Author
	}
	return next.withLazyDigest(), rejection
}

// decodeRejection returns the rejection of a record that cannot be decoded.
func decodeRejection(offset int64, err error) *Rejection {
	r := newMalformed("%v", err)
	r.Offset = offset
	var e *record.Error
	if !errors.As(err, &e) {
		return r
	}
	switch e.Reason {
	case record.Truncated:
		r.Code = Truncated
	case record.Corrupt:
		r.Code = Corrupt
	case record.NewerFormat:
		r.Code = NewerFormat
	}
	return r
}

// applyRecord modifies s in place; s must be a copy that is not shared yet.
func (s *State) applyRecord(offset int64, r record.Record) *Rejection {
	if isSnapshot(r) {
		return s.applySnapshot(offset, r)
	}
	if rejection := s.checkNonce(offset, r.Nonce); rejection != nil {
		return rejection
	}
	before := *s
	rejection := s.applyKind(offset, r)
	if rejection != nil {
		*s = before
	}
	s.decisions = s.decisions.with(newDecision(offset, r, rejection))
	if rejection == nil && r.Kind == record.Void {
		s.decisions = s.decisions.with(voidedDecision(offset, r))
	}
	return rejection
}

// checkNonce rejects a record whose nonce does not fit its offset, has been decided already, or is so old that a
// decision on it may have been evicted.
func (s *State) checkNonce(offset int64, nonce string) *Rejection {
	next, err := record.NonceOffset(nonce)
	if err != nil || next > offset {
		return newMalformed("nonce %q does not fit offset %d", nonce, offset)
	}
	if d, ok := s.decisions.get(nonce); ok {
		r := newMalformed("already decided at offset %d", d.Offset)
		r.Code = Duplicate
		if d.Code == Voided {
			r.Code = Voided
		}
		return r
	}
	if !s.decisions.remembers(nonce) {
		r := newMalformed("its author had folded up to %d only, and decisions up to %d are forgotten",
			next-1, s.decisions.evictedUpTo)
		r.Code = Stale
		return r
	}
	return nil
}

// applyKind applies the payload of a record; after a rejection, s may be partly modified.
func (s *State) applyKind(offset int64, r record.Record) *Rejection {
	switch r.Kind {
	case record.Change:
		return s.applyChange(offset, r)
	case record.Preset:
		return s.applyPreset(offset, r)
	case record.Void:
		return s.applyVoid(offset, r)
	}
	return newMalformed("kind %q is unknown", r.Kind)
}

// applySnapshot records where the last snapshot is; the state in the snapshot is not used.
func (s *State) applySnapshot(offset int64, r record.Record) *Rejection {
	var body record.SnapshotBody
	if err := record.DecodeStrict(r.Payload, &body); err != nil {
		return newMalformed("snapshot: %v", err)
	}
	if body.Offset < s.snapshot.Covers || body.Offset >= offset {
		return newMalformed("snapshot covers %d, which is not between %d and %d",
			body.Offset, s.snapshot.Covers, offset)
	}
	s.snapshot = SnapshotRef{Covers: body.Offset, Offset: offset, TimeMs: r.TimeMs}
	return nil
}

// applyVoid checks a void record; applyRecord adds the decision on the nonce that it voids.
func (s *State) applyVoid(offset int64, r record.Record) *Rejection {
	var body record.VoidBody
	if err := record.DecodeStrict(r.Payload, &body); err != nil {
		return newMalformed("void: %v", err)
	}
	next, err := record.NonceOffset(body.Nonce)
	if err != nil || next > offset || body.Nonce == r.Nonce {
		return newMalformed("nonce %q cannot be voided", truncate(body.Nonce))
	}
	if d, ok := s.decisions.get(body.Nonce); ok {
		rejection := newMalformed("%s was decided at offset %d", body.Nonce, d.Offset)
		rejection.Code = Settled
		return rejection
	}
	if !s.decisions.remembers(body.Nonce) {
		rejection := newMalformed("a decision on %s may be forgotten", body.Nonce)
		rejection.Code = Stale
		return rejection
	}
	return nil
}

func (s *State) applyPreset(offset int64, r record.Record) *Rejection {
	var body record.PresetBody
	if err := record.DecodeStrict(r.Payload, &body); err != nil {
		return newMalformed("preset: %v", err)
	}
	if rejection := s.checkBase(r, []config.Ref{config.InForceRef()}); rejection != nil {
		return rejection
	}
	if !s.presets.has(body.Name) {
		return newInvalid([]config.Problem{{
			Object:   config.InForceRef().String(),
			Field:    "name",
			Expected: "a preset that exists, not \"" + truncate(body.Name) + "\"",
		}})
	}
	s.inForce = PresetInForce{Meta: metaOf(offset, r), Name: body.Name}
	s.recordChange(offset, r, []config.Ref{{Kind: config.Presets, Name: body.Name}})
	return nil
}

func (s *State) applyChange(offset int64, r record.Record) *Rejection {
	var body record.ChangeBody
	if err := record.DecodeStrict(r.Payload, &body); err != nil {
		return newMalformed("change: %v", err)
	}
	refs := append(body.Set.Refs(), body.Remove...)
	if rejection := checkRefs(refs); rejection != nil {
		return rejection
	}
	if rejection := s.checkBase(r, refs); rejection != nil {
		return rejection
	}
	before := *s
	if rejection := s.removeObjects(body.Remove); rejection != nil {
		return rejection
	}
	s.setObjects(metaOf(offset, r), body.Set)
	if rejection := s.validateChange(&before, body); rejection != nil {
		return rejection
	}
	s.recordChange(offset, r, refs)
	return nil
}

// checkRefs rejects a change of no objects, of one object twice, or of the preset in force.
func checkRefs(refs []config.Ref) *Rejection {
	if len(refs) == 0 {
		return newMalformed("nothing is set or removed")
	}
	seen := make(map[config.Ref]bool, len(refs))
	for _, ref := range refs {
		if seen[ref] || ref.Kind == config.InForce {
			return newMalformed("%s stands twice or cannot be changed this way", ref)
		}
		seen[ref] = true
	}
	return nil
}

// checkBase compares all base revisions with the current ones; each object in touched must have a base revision.
func (s *State) checkBase(r record.Record, touched []config.Ref) *Rejection {
	for _, ref := range touched {
		if _, ok := r.Base[ref]; !ok {
			return newMalformed("no base revision for %s", ref)
		}
	}
	var list []Mismatch
	for ref, base := range r.Base {
		if current := s.Meta(ref); current.Revision != base {
			list = append(list, Mismatch{Ref: ref, Base: base, Current: current})
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b Mismatch) int { return a.Ref.Compare(b.Ref) })
	return newConflict(list)
}

func (s *State) removeObjects(refs []config.Ref) *Rejection {
	for _, ref := range refs {
		if s.Meta(ref).Revision == config.Absent {
			return newMalformed("%s does not exist", ref)
		}
		switch ref.Kind {
		case config.Pools:
			s.pools = s.pools.without(ref.Name)
		case config.Stages:
			s.stages = s.stages.without(ref.Name)
		case config.Pipelines:
			s.pipelines = s.pipelines.without(ref.Name)
		case config.Presets:
			s.presets = s.presets.without(ref.Name)
		case config.Teams:
			s.teams = s.teams.without(ref.Name)
		}
	}
	return nil
}

func (s *State) setObjects(m Meta, o config.Objects) {
	s.pools = s.pools.with(m, config.Pools, o.Pools, poolName)
	s.stages = s.stages.with(m, config.Stages, o.Stages, stageName)
	s.pipelines = s.pipelines.with(m, config.Pipelines, o.Pipelines, pipelineName)
	s.presets = s.presets.with(m, config.Presets, o.Presets, presetName)
	s.teams = s.teams.with(m, config.Teams, o.Teams, teamName)
}

// recordChange makes an accepted record the current revision and adds it to the list of changes.
func (s *State) recordChange(offset int64, r record.Record, refs []config.Ref) {
	names := make([]string, 0, min(len(refs), maxChangeNames))
	for _, ref := range refs[:min(len(refs), maxChangeNames)] {
		names = append(names, ref.String())
	}
	s.revision = offset
	s.changes = append(slices.Clone(s.changes), Change{
		Offset: offset,
		Author: r.Author,
		TimeMs: r.TimeMs,
		Kind:   r.Kind,
		Names:  names,
		Count:  len(refs),
		Nonce:  r.Nonce,
	})
	s.changes = s.changes[max(0, len(s.changes)-maxChanges):]
}

func metaOf(offset int64, r record.Record) Meta {
	return Meta{Revision: offset, Author: r.Author, TimeMs: r.TimeMs}
}

func newDecision(offset int64, r record.Record, rejection *Rejection) Decision {
	d := Decision{
		Nonce:    r.Nonce,
		Offset:   offset,
		Kind:     r.Kind,
		Accepted: rejection == nil,
		Author:   r.Author,
		TimeMs:   r.TimeMs,
	}
	if rejection != nil {
		d.Code = rejection.Code
		d.Message = rejection.Message
	}
	return d
}

// voidedDecision returns the decision on the nonce that a void record rejects in advance.
func voidedDecision(offset int64, r record.Record) Decision {
	var body record.VoidBody
	_ = record.DecodeStrict(r.Payload, &body) // applyVoid has decoded it before
	return Decision{
		Nonce:   body.Nonce,
		Offset:  offset,
		Kind:    record.Void,
		Code:    Voided,
		Message: "forbidden before it came",
		Author:  r.Author,
		TimeMs:  r.TimeMs,
	}
}

package decl

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

// apply applies the change of a plan to a state as its next record.
func apply(c *qt.C, s *fold.State, p Plan) *fold.State {
	body := record.ChangeBody{Set: p.Change.Set, Remove: p.Change.Remove}
	nonce := record.NewNonce(s.Offset()+1, uuid.New())
	r, err := record.New(record.Change, nonce, "ann", 0, p.Change.Base, body)
	c.Assert(err, qt.IsNil)
	data, err := record.Encode(r)
	c.Assert(err, qt.IsNil)
	next, rejection := s.Apply(s.Offset()+1, data)
	c.Assert(rejection, qt.IsNil)
	return next
}

func TestDiff(t *testing.T) {
	c := qt.New(t)
	d, err := Load(exampleDir)
	c.Assert(err, qt.IsNil)
	first := Diff(d.Objects, fold.New(), false)
	c.Assert(first.Added, qt.HasLen, len(d.Objects.Refs()))
	s := apply(c, fold.New(), first)
	c.Assert(Diff(d.Objects, s, true).Empty(), qt.IsTrue)

	changed := d.Objects
	changed.Teams = append(changed.Teams[:0:0], changed.Teams...)
	changed.Teams[0].Share = 0.25
	gone := changed.Teams[3]
	changed.Teams = append(changed.Teams[:3], changed.Teams[4:]...)

	kept := Diff(changed, s, false)
	ref := config.Ref{Kind: config.Teams, Name: gone.Name}
	c.Assert(kept.Undeclared, qt.DeepEquals, []config.Ref{ref})
	c.Assert(kept.Removed, qt.HasLen, 0)
	c.Assert(kept.Text(), qt.Equals, `compared with offset 0
~ teams/collectors (in force since revision 0, by ann)
    share: 0.3 -> 0.25
  teams/counters is in force but not declared; it stays unless --prune is given
`)
	c.Assert(kept.Change.Base, qt.DeepEquals, map[config.Ref]int64{{Kind: config.Teams, Name: "collectors"}: 0})

	pruned := apply(c, s, Diff(changed, s, true))
	c.Assert(pruned.Meta(ref).Revision, qt.Equals, config.Absent)
	c.Assert(Diff(changed, pruned, true).Empty(), qt.IsTrue)
}

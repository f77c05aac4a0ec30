package claim

import (
	"cmp"
	"slices"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

// Doubt is an action that may have run.
type Doubt struct {
	Key
	Owner  string
	Minted time.Time
}

// Doubts returns the actions whose outcome is unknown, oldest first: the holder recorded that it does not know it, or
// the deadline of its request has passed without an outcome.
func (f *Fold) Doubts(now time.Time) []Doubt {
	var out []Doubt
	for k, e := range f.entries {
		if e.State == OutcomeLost || e.State == Claimed && now.After(e.Until.Add(timing.ClockSkew)) {
			minted, _ := ident.MintTime(k.Key)
			out = append(out, Doubt{Key: k, Owner: e.Owner, Minted: minted})
		}
	}
	slices.SortFunc(out, func(a, b Doubt) int {
		return cmp.Or(a.Minted.Compare(b.Minted), cmp.Compare(a.Key.Key, b.Key.Key), cmp.Compare(a.Team, b.Team))
	})
	return out
}

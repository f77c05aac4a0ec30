package subset_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/route/subset"
)

const zones = 8

// members returns members spread over 8 zones in 3 regions.
func members(n int) []subset.Member {
	out := make([]subset.Member, n)
	for i := range out {
		out[i] = subset.Member{Name: fmt.Sprintf("runner-%d", i), Zone: fmt.Sprintf("zone-%d", i%zones), Region: fmt.Sprintf("region-%d", i%zones/3)}
	}
	return out
}

// spec returns the spec of an entry; entries are spread over the zones as members are.
func spec(entry int) subset.Spec {
	return subset.Spec{
		Entry:  fmt.Sprintf("entry-%d", entry),
		Zone:   fmt.Sprintf("zone-%d", entry%zones),
		Region: fmt.Sprintf("region-%d", entry%zones/3),
	}
}

// names returns the sorted names of the chosen members.
func names(all []subset.Member, chosen []int) []string {
	var out []string
	for _, i := range chosen {
		out = append(out, all[i].Name)
	}
	slices.Sort(out)
	return out
}

func TestOwnZoneFirst(t *testing.T) {
	all := members(660)
	chosen := spec(1).Select(all)
	qt.Assert(t, chosen, qt.HasLen, 20)
	for n, i := range chosen {
		qt.Check(t, all[i].Region, qt.Equals, "region-0")
		qt.Check(t, all[i].Zone == "zone-1", qt.Equals, n < 16)
	}
	qt.Check(t, spec(1).Select(members(12)), qt.HasLen, 12, qt.Commentf("a small pool is taken whole"))
	qt.Check(t, spec(1).Select(nil), qt.HasLen, 0)
}

func TestSubsetIsStableUnderChange(t *testing.T) {
	all := members(660)
	for gone := range 40 {
		less := slices.Delete(slices.Clone(all), gone, gone+1)
		for e := range 20 {
			before, after := names(all, spec(e).Select(all)), names(less, spec(e).Select(less))
			kept := 0
			for _, name := range before {
				if slices.Contains(after, name) {
					kept++
				}
			}
			qt.Check(t, kept >= 19, qt.IsTrue, qt.Commentf("entry %d keeps %d of 20", e, kept))
		}
	}
}

func TestEvenCoverage(t *testing.T) {
	all := members(660)
	counts := make([]int, len(all))
	for e := range 360 {
		for _, i := range spec(e).Select(all) {
			counts[i]++
		}
	}
	// 360 entries with 20 upstreams each make 10.9 for each runner.
	qt.Check(t, slices.Min(counts) >= 2, qt.IsTrue, qt.Commentf("least %d", slices.Min(counts)))
	qt.Check(t, slices.Max(counts) <= 22, qt.IsTrue, qt.Commentf("most %d", slices.Max(counts)))
}

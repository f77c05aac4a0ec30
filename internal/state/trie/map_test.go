package trie

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

func hashOf(name string, v int) Hash { return sha256.Sum256(fmt.Appendf(nil, "%s=%d", name, v)) }

func TestMatchesPlainMap(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	m := &Map[int]{}
	plain := map[string]int{}
	for step := range 5000 {
		name := fmt.Sprint(rnd.IntN(300))
		before, old := m, maps.Clone(plain)
		if rnd.IntN(3) == 0 {
			m = m.Without(name)
			delete(plain, name)
		} else {
			m = m.With(name, step, hashOf(name, step))
			plain[name] = step
		}
		if step%50 == 0 {
			c.Assert(maps.Collect(m.All()), qt.DeepEquals, plain)
			c.Assert(maps.Collect(before.All()), qt.DeepEquals, old)
		}
		c.Assert(m.Len(), qt.Equals, len(plain))
		got, ok := m.Get(name)
		want, wantOK := plain[name]
		c.Assert(got, qt.Equals, want)
		c.Assert(ok, qt.Equals, wantOK)
	}
}

func TestDigestDependsOnlyOnTheContent(t *testing.T) {
	c := qt.New(t)
	one, two := &Map[int]{}, &Map[int]{}
	for i := range 500 {
		name := fmt.Sprint(i)
		one = one.With(name, i, hashOf(name, i))
	}
	for i := 999; i >= 0; i-- {
		name := fmt.Sprint(i)
		two = two.With(name, -1, hashOf(name, -1))
		two = two.With(name, i, hashOf(name, i))
	}
	c.Assert(one.Digest(), qt.Not(qt.Equals), two.Digest())
	for i := 500; i < 1000; i++ {
		two = two.Without(fmt.Sprint(i))
	}
	c.Assert(one.Digest(), qt.Equals, two.Digest())
	changed := one.With("7", 8, hashOf("7", 8))
	c.Assert(changed.Digest(), qt.Not(qt.Equals), one.Digest())
	empty := one
	for i := range 500 {
		empty = empty.Without(fmt.Sprint(i))
	}
	c.Assert(empty.Digest(), qt.Equals, (&Map[int]{}).Digest())
}

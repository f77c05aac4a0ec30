package affinity_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/route/affinity"
)

var start = time.Date(2026, 3, 2, 12, 0, 0, 0, time.UTC)

func TestHoldersFollowEvents(t *testing.T) {
	c := qt.New(t)
	m := affinity.New(affinity.Options{TTL: time.Minute})
	m.Evicted("p", "a")
	c.Check(m.Holders("p"), qt.HasLen, 0, qt.Commentf("an eviction before its addition is harmless"))
	m.Cached("p", "a", start)
	m.Cached("p", "a", start)
	m.Cached("p", "b", start.Add(30*time.Second))
	before := m.Holders("p")
	c.Check(before, qt.DeepEquals, []string{"a", "b"})
	m.Evicted("p", "a")
	c.Check(m.Holders("p"), qt.DeepEquals, []string{"b"})
	c.Check(before, qt.DeepEquals, []string{"a", "b"}, qt.Commentf("readers keep what they were given"))
	m.Cached("p", "c", start.Add(2*time.Minute))
	c.Check(m.Holders("p"), qt.DeepEquals, []string{"c"}, qt.Commentf("the event about b was lost"))
	m.Evicted("p", "c")
	c.Check(m.Len(), qt.Equals, 0)
}

func TestMapIsBounded(t *testing.T) {
	c := qt.New(t)
	m := affinity.New(affinity.Options{MaxPrefixes: 3})
	for i := range 5 {
		m.Cached(fmt.Sprint(i), "a", start)
		m.Holders("0")
	}
	c.Check(m.Len(), qt.Equals, 3)
	c.Check(m.Holders("0"), qt.HasLen, 1, qt.Commentf("the most recently used prefix is kept"))
	c.Check(m.Holders("1"), qt.HasLen, 0)
	for i := range 6 {
		m.Cached("0", fmt.Sprint(i), start.Add(time.Duration(i)*time.Second))
	}
	c.Check(m.Holders("0"), qt.DeepEquals, []string{"2", "3", "4", "5"})
	c.Check(testing.AllocsPerRun(100, func() { m.Holders("0") }), qt.Equals, 0.0)
}

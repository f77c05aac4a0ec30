package rule_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
)

// rules returns the root route of a host and the given number of routes with longer prefixes: /a0/b/, /a1/b/ and so on.
func rules(routes int) *rule.Rules {
	all := []rule.Route{{Name: "root", Host: "h", Prefix: "/"}}
	for i := range routes {
		all = append(all, rule.Route{Name: fmt.Sprint(i), Host: "h", Prefix: fmt.Sprintf("/a%d/b/", i)})
	}
	return rule.New(1, all, nil, nil, rule.Limits{})
}

func TestTheLongestPrefixMatches(t *testing.T) {
	c := qt.New(t)
	r := rules(10)
	for path, want := range map[string]string{
		"/": "root", "/a7/b/": "7", "/a7/b/c/d": "7", "/a7/b": "root", "/a77/b/": "root", "/x": "root", "/a7//b/": "root",
		"/a3/b/" + strings.Repeat("/", 1000): "3",
	} {
		got, ok := r.Match("H", path)
		c.Check(ok, qt.IsTrue)
		c.Check(got.Name, qt.Equals, want, qt.Commentf(path))
	}
	for _, path := range []string{"", "*", "x"} {
		_, ok := r.Match("h", path)
		c.Check(ok, qt.IsFalse, qt.Commentf(path))
	}
	_, ok := r.Match("other", "/")
	c.Check(ok, qt.IsFalse)
}

// TestRankedRules guards against competition by rank where all requests have one priority.
func TestRankedRules(t *testing.T) {
	routes := func(priorities ...int) []rule.Route {
		var all []rule.Route
		for _, p := range priorities {
			all = append(all, rule.Route{Host: "h", Prefix: "/", Priority: p})
		}
		return all
	}
	team := func(has bool, priority int) map[string]rule.Team {
		return map[string]rule.Team{"key": {HasPriority: has, Priority: priority}}
	}
	for _, test := range []struct {
		routes []rule.Route
		teams  map[string]rule.Team
		want   bool
	}{
		{nil, team(true, 1), false},
		{routes(2, 2), team(false, 0), false},
		{routes(2, 2), team(true, 2), false},
		{routes(2, 2), team(true, 1), true},
		{routes(2, 1), nil, true},
	} {
		qt.Check(t, rule.New(1, test.routes, nil, test.teams, rule.Limits{}).Ranked(), qt.Equals, test.want, qt.Commentf("%v", test))
	}
}

// BenchmarkMatch shows that the time of a lookup does not grow with the number of routes.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1500, 20000} {
		r := rules(n)
		path := fmt.Sprintf("/a%d/b/c/d/e", n-1)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				r.Match("h", path)
			}
		})
	}
}

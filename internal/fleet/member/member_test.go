package member

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/wire/sidepb"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

func TestStateFollowsFromTheSources(t *testing.T) {
	c := qt.New(t)
	f, err := os.Open("testdata/sources.txt")
	c.Assert(err, qt.IsNil)
	defer f.Close()
	var table *Table
	var name string
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line := lines.Text()
		if rest, ok := strings.CutPrefix(line, "case "); ok {
			name, table = rest, New(Options{SuspectAfter: 12 * time.Second})
			continue
		}
		if line == "" || line[0] == '#' {
			continue
		}
		words := strings.Fields(line)
		d, err := time.ParseDuration(words[0])
		c.Assert(err, qt.IsNil, qt.Commentf("%s", line))
		table = applyCommand(c, table, epoch.Add(d), words[1], words[2:], qt.Commentf("%s: %s", name, line))
	}
	c.Assert(lines.Err(), qt.IsNil)
}

// applyCommand executes one line of testdata/sources.txt; the command want checks the state and reason of a host.
func applyCommand(c *qt.C, t *Table, now time.Time, verb string, args []string, note qt.Comment) *Table {
	switch verb {
	case "list":
		return t.WithList(now, parseHosts(args))
	case "link":
		return t.WithConnection(now, args[0], args[1] == "up")
	case "unlink":
		return t.WithoutConnection(args[0])
	case "status":
		st := &sidepb.Status{Upstream: args[0], State: args[1], Incarnation: args[2], UpstreamHealthy: true}
		if args[1] == "unhealthy" {
			st.State, st.UpstreamHealthy = "live", false
		}
		if len(args) > 3 {
			st.Upstream = args[3]
		}
		return t.WithStatus(now, args[0], st)
	case "refused":
		return t.WithLeaving(now, args[0], args[1])
	case "tick":
		return t.Tick(now)
	case "want":
		u, ok := t.View(now).Upstream(args[0])
		got := "unknown"
		if ok {
			got = fmt.Sprintf("%s %s", u.State, u.Reason)
		}
		c.Check(got, qt.Equals, strings.Join(args[1:], " "), note)
		return t
	}
	c.Fatalf("unknown command %q", verb)
	return nil
}

// parseHosts parses hosts as written in testdata/sources.txt.
func parseHosts(args []string) []host.Host {
	var out []host.Host
	for _, a := range args {
		h := host.Host{Pool: "p", Region: "r", State: host.Live}
		a, leaving := strings.CutSuffix(a, "!leaving")
		if leaving {
			h.State = host.Leaving
		}
		h.Name, a, _ = strings.Cut(a, "=")
		h.Address, h.Zone, _ = strings.Cut(a, "/")
		out = append(out, h)
	}
	return out
}

func TestUsableKeepsSuspectsWhenMostAreSuspect(t *testing.T) {
	c := qt.New(t)
	table := New(Options{}).WithList(epoch, parseHosts([]string{"a=1/z", "b=2/z", "c=3/z", "d=4/z!leaving"}))
	table = table.WithConnection(epoch, "a", false)
	c.Assert(names(table.View(epoch).Usable("p")), qt.DeepEquals, []string{"b", "c"})
	table = table.WithConnection(epoch, "b", false)
	c.Assert(names(table.View(epoch).Usable("p")), qt.DeepEquals, []string{"a", "b", "c"})
}

func names(list []Upstream) []string {
	var out []string
	for _, u := range list {
		out = append(out, u.Name)
	}
	return out
}

// Whatever a list leaves out at once, no more than MaxVanishedFraction of a pool is gone before HoldFor ends.
func TestMassAbsenceIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(4, 40).Draw(t, "hosts")
		var all, kept []host.Host
		for i := range n {
			h := host.Host{Name: fmt.Sprint("h", i), Address: fmt.Sprint("10.0.0.", i),
				Zone: fmt.Sprint("z", i%3), Pool: "p", State: host.Live}
			all = append(all, h)
			if rapid.Bool().Draw(t, "kept") {
				kept = append(kept, h)
			}
		}
		table := New(Options{}).WithList(epoch, all).WithList(epoch.Add(time.Second), kept)
		gone := 0
		for _, u := range table.View(epoch.Add(time.Minute)).Pools["p"] {
			if u.State == Gone {
				gone++
			}
		}
		if gone > 1 && float64(gone) > defaultMaxVanishedFraction*float64(n) {
			t.Fatalf("%d of %d hosts gone", gone, n)
		}
	})
}

func TestChangesBetweenViews(t *testing.T) {
	c := qt.New(t)
	table := New(Options{}).WithList(epoch, parseHosts([]string{"a=1/z", "b=2/z"}))
	before := table.View(epoch)
	after := table.WithConnection(epoch, "b", false).View(epoch)
	changes := after.Changes(before)
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Upstream.Name, qt.Equals, "b")
	c.Assert(changes[0].Before, qt.Equals, Live)
	c.Assert(before.Changes(View{}), qt.HasLen, 2)
}

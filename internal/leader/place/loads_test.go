package place_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
	"github.com/ragworthatch/ragworthatch/internal/leader/place"
)

// deployment returns eight engines of a reference deployment with its long and short prompts.
func deployment(name string) *load {
	const ms = time.Millisecond
	if name == "N" {
		return newLoad(8, 74.8, rule.Engine{Slots: 128, Tokens: 551_129},
			kind{name: "long", rank: 1, weight: 88, shared: 6300, own: 2890, sessions: 60, events: 13, tokensInEvent: 4, fetch: 200 * ms,
				target: 1000 * ms, gap: 300 * ms},
			kind{name: "chat", rank: 2, weight: 51.5, shared: 172, own: 543, sessions: 20, events: 70, tokensInEvent: 3,
				target: 1800 * ms, gap: 300 * ms})
	}
	return newLoad(8, 38.4, rule.Engine{Slots: 64, Tokens: 297_751},
		kind{name: "long", rank: 0, weight: 31.5, shared: 6300, own: 2890, sessions: 60, events: 10, tokensInEvent: 5, fetch: 200 * ms,
			target: 1000 * ms, gap: 400 * ms},
		kind{name: "chat", rank: 1, weight: 31.5, shared: 172, own: 543, sessions: 20, events: 56, tokensInEvent: 1,
			target: 2000 * ms, gap: 400 * ms})
}

// disturbances are what happens during a load, by name.
var disturbances = map[string]func(*load){
	"none": func(*load) {},
	// Two engines have other speeds, and other tenants slow half of them 2.5 times for moments.
	"moments": func(l *load) {
		l.engines["e00"].slow, l.engines["e01"].slow = 1/0.7, 1/1.7
		for i := 4; i < 8; i++ {
			e, random := l.engines[fmt.Sprintf("e%02d", i)], rand.New(rand.NewPCG(uint64(i), 7))
			for at := time.Duration(0); at < 20*time.Second; {
				l.after(at, func() { e.slow = 2.5 })
				at += time.Duration(random.Float64() * float64(400*time.Millisecond))
				l.after(at, func() { e.slow = 1 })
				at += time.Duration(random.Float64() * float64(2*time.Second))
			}
		}
	},
	"slow": func(l *load) { l.after(5*time.Second, func() { l.engines["e03"].slow = 4 }) },
	"lost": func(l *load) {
		l.after(5*time.Second, func() {
			l.table = hosts.New(l.table.Ready("p")[:4], start)
			l.placer.SetUpstreams(l.table)
		})
	},
	// Entries tell the new leader what runs.
	"leader": func(l *load) {
		l.after(5*time.Second, func() {
			l.placer = place.New(noLimits(), noBudget())
			var runs []place.Run
			for _, r := range l.done {
				if r.refused || r.toDecode == 0 {
					continue
				}
				run := place.Run{ID: r.id, Engine: r.engine.id, Tokens: r.shared + r.own + r.events*r.tokensInEvent}
				if r.first == 0 {
					run.Unread = r.own
				}
				runs = append(runs, run)
			}
			l.placer.Adopt("entry", runs, true, l.table, start.Add(l.now))
		})
	},
	"burst": func(l *load) {
		k, random := l.kinds[0], rand.New(rand.NewPCG(1, 2))
		n := int(5 * 1.5 * l.perSecond(k, 0.5))
		for range n {
			l.after(5*time.Second+time.Duration(random.Float64()*float64(5*time.Second)), func() { l.arrive(k, random) })
		}
	},
}

// TestLoads reads loads from a file, one a line: deployment, part of what the engines can read, disturbance, and for long
// prompts and chats the least share that is served in time.
func TestLoads(t *testing.T) {
	file, err := os.Open("testdata/loads")
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "#") {
			continue
		}
		var name, disturbance string
		var part, long, chat float64
		_, err := fmt.Sscan(lines.Text(), &name, &part, &disturbance, &long, &chat)
		qt.Assert(t, err, qt.IsNil)
		l := deployment(name)
		l.run(0.4, 10*time.Second) // learns the rates and fills the caches
		from := l.now
		disturbances[disturbance](l)
		l.run(part, 20*time.Second)
		for id, e := range l.engines {
			qt.Check(t, e.mostHeld <= l.spec.Tokens, qt.IsTrue, qt.Commentf("%s: %s held %d tokens", lines.Text(), id, e.mostHeld))
		}
		served := func(kind string) float64 {
			r := l.results(kind, from, l.now)
			return float64(r.served) / float64(r.arrived)
		}
		qt.Check(t, served("long") >= served("chat")-0.05, qt.IsTrue, qt.Commentf("%s: long prompts are more urgent", lines.Text()))
		for k, least := range map[string]float64{"long": long, "chat": chat} {
			got := l.results(k, from, l.now)
			t.Logf("%s %.1f %s %s: %v", name, part, disturbance, k, got)
			qt.Check(t, got.inTime >= least, qt.IsTrue, qt.Commentf("%s: %s: %v", lines.Text(), k, got))
			qt.Check(t, got.lateFirst < 0.06, qt.IsTrue, qt.Commentf("%s: %s: %v", lines.Text(), k, got))
		}
	}
}

// A request whose stages took nearly all of its time can't begin in time on any engine. It must be served late by an idle
// one, and not refused.
func TestRequestsThatWillBeLateUseIdleEngines(t *testing.T) {
	c := qt.New(t)
	l := deployment("N")
	l.run(0.4, 5*time.Second)
	o := order("o", "s", 9000)
	o.Route, o.Rank, o.Target, o.Left, o.Staged = "draft", 0, 1800*time.Millisecond, 20*time.Millisecond, true
	now := start.Add(l.now)
	_, crowded := l.placer.Crowded(o, l.table, l.spec, now)
	c.Check(crowded, qt.IsFalse)
	_, ok := l.placer.Pick(o, l.table, l.spec, now)
	c.Check(ok, qt.IsTrue)
}

// The end of a request may reach a new leader before the message that tells of it. Its memory must not stay reserved.
func TestAdoptedRequestsEndAfterTheirDeadline(t *testing.T) {
	c := qt.New(t)
	p := place.New(noLimits(), noBudget())
	run := place.Run{ID: "1", Engine: "e0", Tokens: 1000, Unread: 500, Until: start.Add(time.Second)}
	p.Ended(run.ID)
	p.Adopt("entry", []place.Run{run, run}, true, engines(), start)
	c.Check(p.Loads()[0].Running, qt.Equals, 1)
	c.Check(p.Loads()[0].Reserved, qt.Equals, 1000)
	p.Sweep(start.Add(10 * time.Second))
	c.Check(p.Loads()[0].Running, qt.Equals, 0)
	c.Check(p.Loads()[0].Reserved, qt.Equals, 0)
	c.Check(p.Loads()[0].Backlog, qt.Equals, time.Duration(0))
}

package lease

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// clock is the manually advanced clock of one host.
type clock struct{ t time.Time }

func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

func newHolder(name string, log logs.Service, c *clock) *Holder {
	return NewHolder(name, log, c.now, zap.NewNop())
}

var ctx = context.Background()

// target returns the targets of a plan in which runner r1 loads the model.
func target(model string) map[string]Target { return map[string]Target{"r1": {Model: model}} }

func TestOnlyOneOfTwoClaimsWins(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	clk := &clock{time.Unix(1_800_000_000, 0)}
	a, b := newHolder("a", log, clk), newHolder("b", log, clk)
	c.Assert(b.Read(ctx), qt.IsNil)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNil)
	// b claims the lease from a state that precedes a's claim.
	c.Assert(b.append(ctx, Record{Kind: KindClaim, Holder: "b", After: -1}), qt.Equals, ErrLost)
	c.Assert(a.Publish(ctx, 1, target("m1")), qt.IsNil)
	c.Assert(b.Publish(ctx, 1, target("m2")), qt.Equals, ErrLost)
	c.Assert(b.ClaimOrRenew(ctx), qt.Equals, ErrLost)
	c.Assert(b.State().Plan().Targets["r1"].Model, qt.Equals, "m1")
}

func TestPausedPlannerCannotPublish(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	clk := &clock{time.Unix(1_800_000_000, 0)}
	old, next := newHolder("old", log, clk), newHolder("next", log, clk)
	c.Assert(old.ClaimOrRenew(ctx), qt.IsNil)
	c.Assert(old.Publish(ctx, 1, target("m1")), qt.IsNil)
	c.Assert(next.ClaimOrRenew(ctx), qt.Equals, ErrLost)
	clk.advance(Duration)
	c.Assert(next.ClaimOrRenew(ctx), qt.IsNil)
	c.Assert(next.Publish(ctx, 1, target("m2")), qt.IsNil)
	// The old planner resumes after a pause longer than its lease.
	c.Assert(old.Publish(ctx, 1, target("m3")), qt.Equals, ErrLost)
	c.Assert(next.Read(ctx), qt.IsNil)
	c.Assert(next.State().Plan().Targets["r1"].Model, qt.Equals, "m2")
	c.Assert(next.State().Plan().Offset > old.Lease(), qt.IsTrue)
	c.Assert(old.ClaimOrRenew(ctx), qt.Equals, ErrLost)
}

func TestRenewalDefeatsAnEarlyClaim(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	slow := &clock{time.Unix(1_800_000_000, 0)}
	// The clock of the other host is an hour ahead and too fast.
	fast := &clock{time.Unix(1_800_003_600, 0)}
	a, b := newHolder("a", log, slow), newHolder("b", log, fast)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNil)
	c.Assert(b.ClaimOrRenew(ctx), qt.Equals, ErrLost)
	slow.advance(RenewInterval)
	fast.advance(2 * Duration)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNil)
	c.Assert(b.append(ctx, Record{Kind: KindClaim, Holder: "b", After: 0}), qt.Equals, ErrLost)
	c.Assert(a.Publish(ctx, 1, target("m1")), qt.IsNil)
}

func TestClaimWithoutAnswerGrantsNoLease(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	clk := &clock{time.Unix(1_800_000_000, 0)}
	a := newHolder("a", log, clk)
	log.LoseAnswers(1)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNotNil)
	c.Assert(a.ClaimOrRenew(ctx), qt.Equals, ErrLost)
	clk.advance(Duration)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNil)
}

func TestLogDownFreezesThePlan(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	clk := &clock{time.Unix(1_800_000_000, 0)}
	a := newHolder("a", log, clk)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNil)
	c.Assert(a.Publish(ctx, 1, target("m1")), qt.IsNil)
	log.SetDown(true)
	clk.advance(10 * Duration)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNotNil)
	c.Assert(a.State().Plan().Targets["r1"].Model, qt.Equals, "m1")
	log.SetDown(false)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNil)
	c.Assert(a.Lease(), qt.Equals, int64(0))
}

// Holders race, pause and lose answers at random. A plan that Publish accepted is the current one under the current
// lease, and a reader that starts in mid-stream agrees with one that read everything once the holder has renewed and
// published.
func TestRandomlyInterleavedHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := memlog.New()
		clocks := make([]*clock, 3)
		holders := make([]*Holder, 3)
		for i := range holders {
			clocks[i] = &clock{time.Unix(1_800_000_000+int64(i)*1000, 0)}
			holders[i] = newHolder(fmt.Sprint("h", i), log, clocks[i])
		}
		all := NewReader(log, clocks[0].now)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			for _, c := range clocks {
				c.advance(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			}
			h := holders[rapid.IntRange(0, 2).Draw(t, "holder")]
			if rapid.IntRange(0, 9).Draw(t, "lose") == 0 {
				log.LoseAnswers(1)
			}
			switch rapid.IntRange(0, 2).Draw(t, "act") {
			case 0:
				_ = h.ClaimOrRenew(ctx)
			case 1:
				// A holder that was paused since its last read acts on a stale state.
				if h.State() != nil {
					_ = h.append(ctx, Record{Kind: KindClaim, Holder: h.name, After: h.State().Grant().LastRenewal})
				}
			case 2:
				if h.Publish(ctx, int64(step), target(fmt.Sprint("m", step))) == nil {
					if err := all.Read(ctx); err != nil {
						t.Fatal(err)
					}
					if p := all.State().Plan(); p.Revision != int64(step) || all.State().Grant().Offset != h.Lease() {
						t.Fatalf("plan of step %d was accepted but is not the current one: %+v", step, p)
					}
				}
			}
			log.LoseAnswers(0)
		}
		checkMidStreamReader(t, log, holders, clocks, all)
	})
}

// checkMidStreamReader lets a holder renew and publish, and checks that a reader which starts at a random offset then
// agrees with all, which has read every record.
func checkMidStreamReader(t *rapid.T, log *memlog.Log, holders []*Holder, clocks []*clock, all *Reader) {
	if err := all.Read(ctx); err != nil {
		t.Fatal(err)
	}
	late := NewReader(log, clocks[0].now)
	late.state = New(rapid.Int64Range(0, all.State().Next()).Draw(t, "from"))
	for i := 0; ; i = (i + 1) % len(holders) {
		clocks[i].advance(RenewInterval)
		if holders[i].ClaimOrRenew(ctx) == nil && holders[i].append(ctx, Record{Kind: KindRenew, Holder: holders[i].name,
			Lease: holders[i].lease, After: holders[i].state.Grant().LastRenewal}) == nil {
			if err := holders[i].Publish(ctx, 1000, target("last")); err != nil {
				t.Fatal(err)
			}
			break
		}
	}
	for _, r := range []*Reader{all, late} {
		if err := r.Read(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if a, b := all.State(), late.State(); a.Grant() != b.Grant() || a.Plan().Offset != b.Plan().Offset {
		t.Fatalf("readers differ: %+v %d and %+v %d", a.Grant(), a.Plan().Offset, b.Grant(), b.Plan().Offset)
	}
}

func TestMidStreamReaderFindsThePlan(t *testing.T) {
	c := qt.New(t)
	log := memlog.New()
	clk := &clock{time.Unix(1_800_000_000, 0)}
	a := newHolder("a", log, clk)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNil)
	c.Assert(a.Publish(ctx, 1, target("m1")), qt.IsNil)
	clk.advance(RenewInterval)
	c.Assert(a.ClaimOrRenew(ctx), qt.IsNil)
	late := NewReader(log, clk.now)
	late.state = New(1)
	c.Assert(late.Read(ctx), qt.IsNil)
	c.Assert(late.State().Grant(), qt.Equals, a.State().Grant())
	c.Assert(late.State().Plan().Targets["r1"].Model, qt.Equals, "m1")
}

func TestInvalidRecordsAreIgnored(t *testing.T) {
	c := qt.New(t)
	s := New(0)
	for _, data := range []string{"", "{", `{"kind":"other"}`, `{"kind":"claim","after":-1,"lease":0}`,
		`{"kind":"claim","holder":"a","color":1}`, `{"kind":"seat"}`, `{"kind":"plan","lease":7}`} {
		next, applied := s.Apply([]byte(data))
		c.Assert(applied, qt.IsFalse, qt.Commentf("%s", data))
		s = next
	}
	c.Assert(s.Ignored(), qt.Equals, int64(7))
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"claim","holder":"a","after":-1}`))
	f.Add([]byte(`{"kind":"plan","lease":0,"targets":{"r1":{"model":"m"}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _ := New(0).Apply(data)
		if s.Next() != 1 {
			t.Fatal("record did not advance the offset")
		}
	})
}

package poison

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/ragworthatch/ragworthatch/internal/wire/peerpb"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return epoch.Add(d) }

func TestTwoCrashesQuarantine(t *testing.T) {
	c := qt.New(t)
	s := New(Options{}).WithCrash(at(0), Crash{"r1/i1/1", 3}, "culprit", "x", "y")
	c.Assert(s.State("culprit", at(1)), qt.Equals, Suspect)
	c.Assert(s.State("x", at(1)), qt.Equals, Suspect)
	s = s.WithCompletion(at(time.Second), "x")
	c.Assert(s.State("x", at(time.Second)), qt.Equals, Clear)
	s = s.WithCrash(at(2*time.Second), Crash{"r2/i1/1", 1}, "culprit")
	c.Assert(s.State("culprit", at(3*time.Second)), qt.Equals, Quarantined)
	c.Assert(s.State("y", at(3*time.Second)), qt.Equals, Suspect)
}

func TestRepeatedReportsOfACrashCountOnce(t *testing.T) {
	c := qt.New(t)
	s := New(Options{}).WithCrash(at(0), Crash{"r1/i1/1", 1}, "a").WithCrash(at(1), Crash{"r1/i1/1", 1}, "a")
	c.Assert(s.State("a", at(2)), qt.Equals, Suspect)
}

func TestTwoSharedCrashesDoNotQuarantine(t *testing.T) {
	c := qt.New(t)
	s := New(Options{}).
		WithCrash(at(0), Crash{"r1/i1/1", 2}, "innocent", "culprit1").
		WithCrash(at(1), Crash{"r2/i1/1", 2}, "innocent", "culprit2")
	c.Assert(s.State("innocent", at(2)), qt.Equals, Suspect)
}

func TestExpiryAndLift(t *testing.T) {
	c := qt.New(t)
	s := New(Options{}).
		WithCrash(at(0), Crash{"r1/i1/1", 1}, "a").
		WithCrash(at(50*time.Minute), Crash{"r2/i1/1", 1}, "a")
	c.Assert(s.State("a", at(109*time.Minute)), qt.Equals, Quarantined)
	c.Assert(s.RetryAfter("a", at(100*time.Minute)), qt.Equals, 10*time.Minute)
	c.Assert(s.State("a", at(110*time.Minute)), qt.Equals, Clear)
	c.Assert(s.RetryAfter("a", at(110*time.Minute)), qt.Equals, time.Duration(0))

	lifted := s.WithLift(at(60*time.Minute), "a", "maite")
	c.Assert(lifted.State("a", at(61*time.Minute)), qt.Equals, Lifted)
	c.Assert(lifted.Merge(at(61*time.Minute), s).State("a", at(61*time.Minute)), qt.Equals, Lifted)
	c.Assert(lifted.List(at(61 * time.Minute))[0].LiftedBy, qt.Equals, "maite")

	again := lifted.
		WithCrash(at(62*time.Minute), Crash{"r3/i1/1", 1}, "a").
		WithCrash(at(63*time.Minute), Crash{"r4/i1/1", 1}, "a")
	c.Assert(again.State("a", at(64*time.Minute)), qt.Equals, Quarantined)
}

func TestRetryAfterLastsAsLongAsTheQuarantine(t *testing.T) {
	c := qt.New(t)
	s := New(Options{}).
		WithCrash(at(0), Crash{"r1/i1/1", 1}, "a").
		WithCrash(at(10*time.Minute), Crash{"r2/i1/1", 1}, "a")
	cleared := New(Options{}).WithCrash(at(30*time.Minute), Crash{"r3/i1/1", 2}, "a", "b").
		WithCompletion(at(31*time.Minute), "a")
	s = s.Merge(at(32*time.Minute), cleared)
	retryAt := at(32 * time.Minute).Add(s.RetryAfter("a", at(32*time.Minute)))
	c.Check(s.State("a", retryAt.Add(-time.Second)), qt.Equals, Quarantined)
	c.Check(s.State("a", retryAt), qt.Equals, Clear)
}

func TestEvictionKeepsQuarantinedFingerprints(t *testing.T) {
	c := qt.New(t)
	s := New(Options{MaxFingerprints: 10}).
		WithCrash(at(0), Crash{"r1/i1/1", 1}, "bad").
		WithCrash(at(1), Crash{"r2/i1/1", 1}, "bad")
	for i := range 100 {
		s = s.WithCrash(at(time.Duration(i+1)*time.Second), Crash{fmt.Sprint("r3/i1/", i), 2},
			fmt.Sprint("x", i), fmt.Sprint("y", i))
	}
	c.Assert(s.Len(), qt.Equals, 10)
	c.Assert(s.State("bad", at(100*time.Second)), qt.Equals, Quarantined)

	for i := range 100 {
		s = s.WithCrash(at(time.Duration(i)*time.Second), Crash{fmt.Sprint("r9/i1/", i), 1}, "bad")
	}
	c.Assert(s.records["bad"].crashes, qt.HasLen, maxCrashes)
	c.Assert(s.WithCrash(at(3*time.Hour), Crash{"r1/i2/1", 1}, "other").Fingerprints(), qt.DeepEquals, []string{"other"})
}

func TestPeerMarksAreValidated(t *testing.T) {
	c := qt.New(t)
	future := at(time.Hour).UnixMilli()
	s, changed := New(Options{}).WithMarks(epoch, []*peerpb.Mark{
		{Fingerprint: "", Crashes: []*peerpb.Crash{{Id: "x", AtUnixMs: epoch.UnixMilli()}}},
		{Fingerprint: "future", Crashes: []*peerpb.Crash{{Id: "x", AtUnixMs: future}}},
		{Fingerprint: "lifted", LiftedUnixMs: future},
		{Fingerprint: "empty"},
		{Fingerprint: "old", Crashes: []*peerpb.Crash{{Id: "x", AtUnixMs: at(-3 * time.Hour).UnixMilli()}}},
		{Fingerprint: string(make([]byte, maxNameBytes+1)), Crashes: []*peerpb.Crash{{Id: "x", AtUnixMs: epoch.UnixMilli()}}},
		{Fingerprint: "good", Crashes: []*peerpb.Crash{{Id: "x", AtUnixMs: epoch.UnixMilli()}}},
	})
	c.Assert(s.Fingerprints(), qt.DeepEquals, []string{"good"})
	c.Assert(changed, qt.DeepEquals, []string{"good"})
	_, changed = s.WithMarks(epoch, s.Marks(epoch, s.Fingerprints()))
	c.Assert(changed, qt.HasLen, 0)
}

// drawSet builds a set from random events.
func drawSet(t *rapid.T, label string) *Set {
	s := New(Options{})
	for i := range rapid.IntRange(0, 8).Draw(t, label) {
		now := at(time.Duration(rapid.IntRange(1, 7199).Draw(t, "second")) * time.Second)
		fp := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "fp")
		switch rapid.IntRange(0, 5).Draw(t, fmt.Sprint("event", i)) {
		case 0:
			s = s.WithLift(now, fp, rapid.SampledFrom([]string{"ana", "jon"}).Draw(t, "author"))
		case 1:
			s = s.WithCompletion(now, fp)
		default:
			crash := Crash{rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "crash"),
				rapid.IntRange(1, 2).Draw(t, "inFlight")}
			s = s.WithCrash(now, crash, fp)
		}
	}
	return s
}

// encodeMarks returns all marks of a set in a form that is equal for equal sets.
func encodeMarks(s *Set) []byte {
	msg := &peerpb.GossipRequest{Marks: s.Marks(at(2*time.Hour), s.Fingerprints())}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		panic(err)
	}
	return b
}

func TestMergeOrderDoesNotMatter(t *testing.T) {
	now := at(2 * time.Hour)
	rapid.Check(t, func(t *rapid.T) {
		sets := []*Set{drawSet(t, "s0"), drawSet(t, "s1"), drawSet(t, "s2"), drawSet(t, "s3")}
		inOrder := New(Options{})
		for _, s := range sets {
			inOrder = inOrder.Merge(now, s)
		}
		other := New(Options{})
		for _, i := range rapid.Permutation([]int{0, 1, 2, 3, 0, 2}).Draw(t, "order") {
			if rapid.Bool().Draw(t, "wire") {
				other, _ = other.WithMarks(now, sets[i].Marks(now, sets[i].Fingerprints()))
			} else {
				other = other.Merge(now, sets[i])
			}
		}
		if !slices.Equal(encodeMarks(inOrder), encodeMarks(other)) {
			t.Fatalf("merge order matters: %v against %v", inOrder.List(now), other.List(now))
		}
	})
}

// Entries run innocent and crashing requests together on runners and gossip after each run. No innocent request is ever
// quarantined, and none that crashes takes down more than quarantineCrashes runners.
func TestOnlyCulpritsAreQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := []*Set{New(Options{}), New(Options{}), New(Options{})}
		culprits := []string{"bad0", "bad1", "bad2"}
		innocents := []string{"good0", "good1", "good2", "good3"}
		all := slices.Concat(culprits, innocents)
		crashes := map[string]int{}
		for step := range 60 {
			now := at(time.Duration(step) * time.Second)
			e := rapid.IntRange(0, len(entries)-1).Draw(t, "entry")
			first := rapid.SampledFrom(all).Draw(t, "request")
			if entries[e].State(first, now) == Quarantined {
				continue
			}
			batch := []string{first}
			if entries[e].State(first, now) == Clear {
				for _, fp := range rapid.SliceOfNDistinct(rapid.SampledFrom(all), 0, 3, rapid.ID).Draw(t, "beside") {
					if fp != first && entries[e].State(fp, now) == Clear {
						batch = append(batch, fp)
					}
				}
			}
			crashed := false
			for _, fp := range batch {
				if slices.Contains(culprits, fp) {
					crashed = true
					crashes[fp]++
				}
			}
			switch {
			case crashed:
				entries[e] = entries[e].WithCrash(now, Crash{fmt.Sprint("r/", step), len(batch)}, batch...)
			case len(batch) == 1:
				entries[e] = entries[e].WithCompletion(now, first)
			}
			for i := range entries {
				entries[i] = entries[i].Merge(now, entries[e])
			}
			for _, s := range entries {
				for _, fp := range innocents {
					if s.State(fp, now) == Quarantined {
						t.Fatalf("innocent %s is quarantined", fp)
					}
				}
			}
		}
		for fp, n := range crashes {
			if n > quarantineCrashes {
				t.Fatalf("%s crashed %d upstreams", fp, n)
			}
		}
	})
}

package claim

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
	"github.com/ragworthatch/ragworthatch/internal/model/timing"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var testKey = Key{Team: "t", Key: uuid.Must(uuid.NewV7()).String()}

func TestFoldScript(t *testing.T) {
	file, err := os.Open("testdata/fold.txt")
	qt.Assert(t, err, qt.IsNil)
	defer file.Close()
	var f *Fold
	name := ""
	for lines := bufio.NewScanner(file); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "", "#":
		case "case":
			f, name = New(), rest
		case "=":
			e, _ := f.Get(testKey)
			got := strings.TrimSpace(fmt.Sprintf("%s %s", e.State, e.Nonce))
			qt.Check(t, got, qt.Equals, rest, qt.Commentf("case %s", name))
		default:
			if !strings.HasPrefix(line, "#") {
				f.Apply(f.Next(), encode(t, line))
			}
		}
	}
}

// encode encodes the record in a line of the script.
func encode(t *testing.T, line string) []byte {
	word, rest, _ := strings.Cut(line, " ")
	if word == "bytes" {
		return []byte(rest)
	}
	args := append(strings.Fields(rest), "")
	r := Record{Kind: Kind(word), Nonce: args[0], Key: testKey}
	switch r.Kind {
	case Claim:
		r.BodyDigest = args[1]
	case Outcome, Settle:
		r.Verdict = fault.Verdict(args[1])
	}
	b, err := r.Encode()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("line %q", line))
	return b
}

// TestAtMostOneOwnerRunsTheAction runs random owners that follow the protocol on a log that delays, repeats and
// loses appends. No more than one of them may find its claim holding the key and run the action.
func TestAtMostOneOwnerRunsTheAction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type owner struct {
			nonce       string
			gaveUp, ran bool
		}
		var log [][]byte
		var owners []*owner
		var late [][]byte
		write := func(kind Kind, nonce string) {
			b, err := Record{Kind: kind, Nonce: nonce, Key: testKey, BodyDigest: "b"}.Encode()
			if err != nil {
				t.Fatal(err)
			}
			switch rapid.SampledFrom([]string{"taken", "late", "twice", "both"}).Draw(t, "fate") {
			case "taken":
				log = append(log, b)
			case "late":
				late = append(late, b)
			case "twice":
				log = append(log, b, b)
			case "both":
				log = append(log, b)
				late = append(late, b)
			}
		}
		read := func() Entry {
			f := New()
			for i, b := range log {
				f.Apply(int64(i), b)
			}
			e, _ := f.Get(testKey)
			return e
		}
		pick := func() *owner {
			if len(owners) == 0 {
				return nil
			}
			return rapid.SampledFrom(owners).Draw(t, "owner")
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(*rapid.T) {
				o := &owner{nonce: fmt.Sprint("n", len(owners))}
				owners = append(owners, o)
				write(Claim, o.nonce)
			},
			"claimAgain": func(*rapid.T) {
				if o := pick(); o != nil && !o.gaveUp {
					write(Claim, o.nonce)
				}
			},
			"run": func(*rapid.T) {
				o := pick()
				if o == nil || o.gaveUp || o.ran {
					return
				}
				if e := read(); e.State == Claimed && e.Nonce == o.nonce {
					o.ran = true
				}
			},
			"giveUp": func(*rapid.T) {
				if o := pick(); o != nil && !o.ran {
					o.gaveUp = true
					write(Release, o.nonce)
				}
			},
			"arrive": func(*rapid.T) {
				if len(late) == 0 {
					return
				}
				i := rapid.IntRange(0, len(late)-1).Draw(t, "late")
				log = append(log, late[i])
				late = append(late[:i], late[i+1:]...)
			},
			"": func(t *rapid.T) {
				n := 0
				for _, o := range owners {
					if o.ran {
						n++
					}
				}
				if n > 1 {
					t.Fatalf("action ran %d times", n)
				}
			},
		})
	})
}

func TestGapRaisesTheHorizon(t *testing.T) {
	c := qt.New(t)
	f := New()
	at := time.Now()
	b, err := Record{Kind: Claim, Nonce: "a", Key: testKey, AtMs: at.UnixMilli()}.Encode()
	c.Assert(err, qt.IsNil)
	f.Apply(7, []byte("garbage after records 0 to 6 were dropped"))
	f.Apply(8, b)
	c.Assert(f.BeforeHorizon(at), qt.IsTrue)
	c.Assert(f.BeforeHorizon(at.Add(3*timing.ClockSkew)), qt.IsFalse)
}

func TestTrimForgetsKeysOutsideTheWindow(t *testing.T) {
	c := qt.New(t)
	f := New()
	b, err := Record{Kind: Claim, Nonce: "a", Key: testKey}.Encode()
	c.Assert(err, qt.IsNil)
	f.Apply(0, b)
	now, ok := ident.MintTime(testKey.Key)
	c.Assert(ok, qt.IsTrue)
	f.Trim(now.Add(timing.ActionWindow))
	c.Assert(f.Len(), qt.Equals, 1)
	f.Trim(now.Add(timing.ActionWindow + RetentionMargin + time.Second))
	c.Assert(f.Len(), qt.Equals, 0)
	c.Assert(f.BeforeHorizon(now), qt.IsTrue)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"kind":"claim","nonce":"n","key":{"team":"t","key":"` + testKey.Key + `"},"atMs":1}`))
	f.Add([]byte(`{"kind":"settle"}`))
	f.Add([]byte("garbage"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Decode(b)
		if err != nil {
			return
		}
		again, err := r.Encode()
		if err != nil {
			t.Fatalf("record %q does not encode: %v", b, err)
		}
		if got, err := Decode(again); err != nil || got.Kind != r.Kind || got.Key != r.Key {
			t.Fatalf("record changed from %+v to %+v: %v", r, got, err)
		}
	})
}

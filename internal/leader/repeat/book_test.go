package repeat_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/leader/repeat"
)

func TestCallersAreKnownByRequestAndDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	b := repeat.New()
	for _, test := range []struct {
		name              string
		fingerprint       uint64
		arrived, deadline int
		want              time.Duration
	}{
		{"first visit", 1, 0, 6000, 0},
		{"another request", 2, 100, 6000, 0},
		{"it comes back", 1, 1500, 6010, 1500 * time.Millisecond},
		{"and again", 1, 3000, 5990, 3 * time.Second},
		{"the same request of another caller", 1, 1600, 7600, 0},
		{"which comes back", 1, 2600, 7600, time.Second},
		{"an order that moved between leaders", 1, 1600, 7600, 0},
	} {
		got := b.Note(test.fingerprint, at(test.arrived), at(test.deadline))
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
	b.Sweep(at(6500))
	qt.Check(t, b.Len(), qt.Equals, 1)
	b.Sweep(at(8000))
	qt.Check(t, b.Len(), qt.Equals, 0)
}

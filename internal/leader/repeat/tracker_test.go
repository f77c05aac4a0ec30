package repeat_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/leader/repeat"
)

func TestRetriesAreRecognizedByFingerprintAndDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tracker := repeat.New()
	for _, test := range []struct {
		name              string
		fingerprint       uint64
		arrived, deadline int
		want              time.Duration
	}{
		{"first attempt", 1, 0, 6000, 0},
		{"another request", 2, 100, 6000, 0},
		{"first retry", 1, 1500, 6010, 1500 * time.Millisecond},
		{"second retry", 1, 3000, 5990, 3 * time.Second},
		{"the same request of another caller", 1, 1600, 7600, 0},
		{"retry of the other caller", 1, 2600, 7600, time.Second},
		{"order that moved between leaders", 1, 1600, 7600, 0},
	} {
		got := tracker.Record(test.fingerprint, at(test.arrived), at(test.deadline))
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
	tracker.Refused(1, at(4000))
	tracker.Refused(7, at(4000))
	qt.Check(t, tracker.IsEarly(1, at(3000)), qt.IsTrue)
	qt.Check(t, tracker.IsEarly(1, at(3800)), qt.IsFalse)
	qt.Check(t, tracker.IsEarly(2, at(100)), qt.IsFalse, qt.Commentf("it was not refused"))
	tracker.Sweep(at(6500))
	qt.Check(t, tracker.Len(), qt.Equals, 1)
	tracker.Sweep(at(8000))
	qt.Check(t, tracker.Len(), qt.Equals, 0)
}

package notices_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/notices"
	"github.com/ragworthatch/ragworthatch/internal/limit/pace"
)

// testRecord is a record with a fake clock, and what it reported to its callbacks.
type testRecord struct {
	*notices.Record
	now      time.Time
	leavings int              // calls of OnLeaving
	reported []notices.Notice // to OnNotice
}

func newTestRecord() *testRecord {
	w := &testRecord{now: time.Unix(1000, 0)}
	w.Record = notices.New(notices.Options{
		OnLimit:   func(pace.Statement[hosts.Lifetime]) bool { return false },
		OnLeaving: func() { w.leavings++ }, OnNotice: func(n notices.Notice) { w.reported = append(w.reported, n) },
		Now: func() time.Time { return w.now }, Log: zap.NewNop(),
	})
	return w
}

var up = hosts.Upstream{ID: "u", Pool: "p", StartedMs: 7, State: hosts.Ready}

func TestPausesHoldForTheirTime(t *testing.T) {
	c, w := qt.New(t), newTestRecord()
	w.AddAnswer(up, w.now, http.StatusOK, call.Answer{RetryAfter: time.Second})
	c.Check(w.PauseRemaining(up.Lifetime()), qt.Equals, time.Duration(0),
		qt.Commentf("Retry-After counts only if an upstream turns requests away"))
	w.AddAnswer(up, w.now, http.StatusServiceUnavailable, call.Answer{RetryAfter: 2 * time.Second})
	w.AddAnswer(up, w.now, http.StatusServiceUnavailable, call.Answer{RetryAfter: time.Second})
	w.AddAnswer(up, w.now, http.StatusServiceUnavailable, call.Answer{})
	c.Check(w.PauseRemaining(up.Lifetime()), qt.Equals, 2*time.Second, qt.Commentf("a shorter pause does not end it"))
	c.Check(w.PauseRemaining(hosts.Lifetime{ID: "u", StartedMs: 8}), qt.Equals, time.Duration(0),
		qt.Commentf("a new lifetime has no pause"))
	c.Check(w.reported, qt.DeepEquals, []notices.Notice{{Lifetime: up.Lifetime(), Pause: 2 * time.Second}})
	other := hosts.Upstream{ID: "v", StartedMs: 1}
	open, _ := w.NotPaused([]hosts.Upstream{up, other})
	c.Check(open, qt.DeepEquals, []hosts.Upstream{other})
	open, first := w.NotPaused([]hosts.Upstream{up})
	c.Check(open, qt.HasLen, 0)
	c.Check(first, qt.Equals, 2*time.Second)
	w.now = w.now.Add(2 * time.Second)
	c.Check(w.PauseRemaining(up.Lifetime()), qt.Equals, time.Duration(0))
	w.AddAnswer(up, w.now, http.StatusServiceUnavailable, call.Answer{RetryAfter: 1000 * time.Hour})
	c.Check(w.PauseRemaining(up.Lifetime()), qt.Equals, time.Hour)
}

func TestLeavingLastsAsLongAsTheLifetime(t *testing.T) {
	c, w := qt.New(t), newTestRecord()
	table := hosts.New([]hosts.Upstream{up}, w.now)
	for range 2 {
		w.AddAnswer(up, w.now, http.StatusInternalServerError, call.Answer{Leaving: true})
	}
	c.Check(w.leavings, qt.Equals, 1)
	c.Check(w.reported, qt.DeepEquals, []notices.Notice{{Lifetime: up.Lifetime(), Leaving: true}})
	w.now = w.now.Add(time.Hour)
	w.Forget(table)
	c.Check(w.IsLeaving(up.Lifetime()), qt.IsTrue, qt.Commentf("a list that shows it as ready does not bring it back"))
	c.Check(table.WithLeaving(w.IsLeaving).Ready("p"), qt.HasLen, 0)
	restarted := up
	restarted.StartedMs++
	c.Check(hosts.New([]hosts.Upstream{restarted}, w.now).WithLeaving(w.IsLeaving).Ready("p"), qt.HasLen, 1)
	c.Check(w.Notices(), qt.DeepEquals, []notices.Notice{{Lifetime: up.Lifetime(), Leaving: true}})
	w.Forget(hosts.New([]hosts.Upstream{restarted}, w.now))
	c.Check(w.Notices(), qt.HasLen, 0)
}

func TestNoticesOfOtherEntries(t *testing.T) {
	c, w := qt.New(t), newTestRecord()
	w.AddRemote(notices.Notice{Lifetime: up.Lifetime(), Leaving: true, Pause: time.Second})
	c.Check(w.IsLeaving(up.Lifetime()), qt.IsTrue)
	c.Check(w.PauseRemaining(up.Lifetime()), qt.Equals, time.Duration(0),
		qt.Commentf("a pause that another entry was asked for does not hold here"))
	c.Check(w.reported, qt.HasLen, 0)
}

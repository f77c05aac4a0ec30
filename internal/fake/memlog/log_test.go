package memlog

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/infra/logs"
)

const name = "s"

func record(s string) [][]byte { return [][]byte{[]byte(s)} }

func readTexts(c *qt.C, l *Log, from int64) []string {
	b, err := l.Read(context.Background(), name, from, 100)
	c.Assert(err, qt.IsNil)
	out := []string{}
	for _, r := range b.Records {
		out = append(out, string(r))
	}
	return out
}

func TestAppendRead(t *testing.T) {
	c := qt.New(t)
	l := New()
	first, err := l.Append(context.Background(), name, [][]byte{[]byte("a"), []byte("b")})
	c.Assert(err, qt.IsNil)
	c.Assert(first, qt.Equals, int64(0))
	first, err = l.Append(context.Background(), name, record("c"))
	c.Assert(err, qt.IsNil)
	c.Assert(first, qt.Equals, int64(2))
	c.Assert(readTexts(c, l, 1), qt.DeepEquals, []string{"b", "c"})
	l.Trim(name, 2)
	b, err := l.Read(context.Background(), name, 0, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.DeepEquals, logs.Batch{First: 2, Records: record("c"), Oldest: 2, Next: 3})
}

func TestFaults(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	l := New()
	var e *logs.Error

	l.SetDown(true)
	_, err := l.Append(ctx, name, record("refused"))
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.MayHaveAppended, qt.IsFalse)
	_, err = l.Read(ctx, name, 0, 1)
	c.Assert(err, qt.ErrorIs, ErrDown)
	l.SetDown(false)

	l.LoseAnswers(1)
	_, err = l.Append(ctx, name, record("lost"))
	c.Assert(errors.As(err, &e), qt.IsTrue)
	c.Assert(e.MayHaveAppended, qt.IsTrue)

	l.HoldAppends(1)
	_, err = l.Append(ctx, name, record("held"))
	c.Assert(err, qt.ErrorIs, ErrAnswerLost)
	_, err = l.Append(ctx, name, record("next"))
	c.Assert(err, qt.IsNil)
	c.Assert(l.Release(), qt.Equals, 1)
	c.Assert(readTexts(c, l, 0), qt.DeepEquals, []string{"lost", "next", "held"})
	c.Assert(l.Appends(), qt.Equals, 3)
}

func TestDelayedAppendTakesEffectAfterItsCallerGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := New()
		l.DelayAppend(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := l.Append(ctx, name, record("late"))
		c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
		c.Assert(readTexts(c, l, 0), qt.HasLen, 0)
		time.Sleep(2 * time.Second)
		c.Assert(readTexts(c, l, 0), qt.DeepEquals, []string{"late"})
	})
}

func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		l := New()
		l.KeepHistory()
		l.Retain(2)
		for _, s := range []string{"a", "b", "c"} {
			_, err := l.Append(t.Context(), name, record(s))
			c.Assert(err, qt.IsNil)
		}
		c.Assert(readTexts(c, l, 0), qt.DeepEquals, []string{"b", "c"})
		c.Assert(l.History(name), qt.HasLen, 3)
		l.RetainFor(time.Minute)
		time.Sleep(time.Hour)
		b, err := l.Read(t.Context(), name, 0, 10)
		c.Assert(err, qt.IsNil)
		c.Assert(b.Records, qt.HasLen, 0)
		c.Assert(b.Oldest, qt.Equals, int64(3))
		c.Assert(b.Next, qt.Equals, int64(3))
	})
}

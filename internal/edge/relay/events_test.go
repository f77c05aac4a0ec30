package relay_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/relay"
)

func TestOnlyWholeEventsPass(t *testing.T) {
	c := qt.New(t)
	text := "id: 1\ndata: a\n\nid:2\ndata: b\r\n\r\nweight-versions:3\nid: 3\ndata: c\n\nid: 4\nda"
	for size := 1; size < 9; size++ {
		var e relay.EventSplitter
		var got strings.Builder
		for rest := text; rest != ""; {
			n := min(size, len(rest))
			whole, err := e.Add([]byte(rest[:n]))
			c.Check(err, qt.IsNil)
			got.Write(whole)
			rest = rest[n:]
		}
		c.Check(got.String(), qt.Equals, strings.TrimSuffix(text, "id: 4\nda"))
		c.Check(e.LastID(), qt.Equals, "3")
		c.Check(e.Count(), qt.Equals, 3)
		c.Check(string(e.Rest()), qt.Equals, "id: 4\nda")
	}
}

func TestEventsMayEndTheirLinesInAnyWay(t *testing.T) {
	for _, text := range []string{
		"id: 1\ndata: a\n\ndata: b\n\n", "id: 1\rdata: a\r\rdata: b\r\r", "id: 1\r\ndata: a\r\n\r\ndata: b\r\n\r\n",
		"id: 1\ndata: a\r\n\ndata: b\n\r\n", ": busy\n\nid: 1\ndata: a\n\n: busy\r\n\r\ndata: b\r\n\n",
	} {
		for size := 1; size < 9; size++ {
			c := qt.New(t)
			var e relay.EventSplitter
			var got strings.Builder
			for rest := text; rest != ""; {
				n := min(size, len(rest))
				whole, err := e.Add([]byte(rest[:n]))
				c.Check(err, qt.IsNil)
				got.Write(whole)
				rest = rest[n:]
			}
			c.Check(got.String(), qt.Equals, text, qt.Commentf("%q by %d", text, size))
			c.Check(e.Count(), qt.Equals, 2, qt.Commentf("%q by %d", text, size))
			c.Check(string(e.Rest()), qt.Equals, "")
			c.Check(e.LastID(), qt.Equals, "1")
		}
	}
}

// FuzzEvents checks that no bytes are lost or added, however the stream is cut into chunks of up to 64 bytes.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n\n"), 3)
	f.Add([]byte("\n\n\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, size int) {
		if size < 1 || size > 64 {
			return
		}
		var e relay.EventSplitter
		var got []byte
		for rest := data; len(rest) > 0; {
			n := min(size, len(rest))
			whole, err := e.Add(rest[:n])
			if err != nil {
				return
			}
			got = append(got, whole...)
			rest = rest[n:]
		}
		got = append(got, e.Rest()...)
		qt.Assert(t, string(got), qt.Equals, string(data))
	})
}

// A stream without event IDs must end with an error, and only a bounded part of it may be buffered.
func TestStreamsWithoutEventsEnd(t *testing.T) {
	for _, line := range []string{": still here\n\n", "data: x\n\n", "\n\n", "x", "id 7\n"} {
		c := qt.New(t)
		var e relay.EventSplitter
		chunk, added := []byte(strings.Repeat(line, 512)), 0
		var err error
		for err == nil && added < 1<<20 {
			_, err = e.Add(chunk)
			added += len(chunk)
		}
		c.Check(err, qt.ErrorIs, relay.ErrNoEvents, qt.Commentf("%q", line))
		c.Check(len(e.Rest()) <= 300<<10, qt.IsTrue)
	}
}

package upstreamhttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/ragworthatch/ragworthatch/internal/infra/upstream"
)

// FuzzAnswer checks that of any bytes read as an answer, accepted events belong to the call, are in order and match the
// count.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(`{"id":"r/s/1","last":true,"count":1,"data":"aGk="}`), false, uint8(0))
	f.Add([]byte("data: {\"id\":\"r/s/1\",\"data\":\"YQ==\"}\n\ndata: {\"id\":\"r/s/1\",\"index\":1,\"last\":true,\"count\":1}\n"), true, uint8(0))
	f.Add([]byte("data: {\"id\":\"r/s/1\",\"index\":2,\"data\":\"YQ==\",\"last\":true,\"count\":3}\n"), true, uint8(2))
	f.Add([]byte("data: {\"id\":\"x\"}\n"), true, uint8(0))
	f.Fuzz(func(t *testing.T, data []byte, stream bool, held uint8) {
		ctx, cancel := context.WithCancelCause(context.Background())
		defer cancel(nil)
		r := &response{
			call: upstream.Call{ID: "r/s/1", Held: make([]string, held)},
			resp: &http.Response{Body: io.NopCloser(bytes.NewReader(data))},
			ctx:  ctx, cancel: cancel, timer: &progressTimer{},
		}
		var s upstream.Stream = &jsonAnswer{response: r}
		if stream {
			s = newEventStream(r)
		}
		checkStream(t, s, r.call, stream)
	})
}

// checkStream reads s to its end. It fails the test for an event of another call or out of order, and for a last event
// with a wrong count; stream says that the answer comes as server-sent events, not as JSON.
func checkStream(t *testing.T, s upstream.Stream, call upstream.Call, stream bool) {
	var count uint64
	if stream {
		count = uint64(len(call.Held))
	}
	for {
		e, err := s.Next(context.Background())
		if err != nil {
			return
		}
		if e.ID != call.ID {
			t.Fatalf("event of %q", e.ID)
		}
		if e.Index != count {
			t.Fatalf("event %d where %d is due", e.Index, count)
		}
		if len(e.Data) > 0 || !stream {
			count++
		}
		if !e.Last {
			continue
		}
		if e.Count != count {
			t.Fatalf("last event counts %d of %d", e.Count, count)
		}
		if _, err := s.Next(context.Background()); err != io.EOF {
			t.Fatalf("after the last event: %v", err)
		}
		return
	}
}

package uphttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
)

// An upstream writes its last answer once more when the next request of the connection has come. It was taken for the answer to
// a request without an ID, and to one with the same ID (review/6).
func TestARepeatedAnswerIsNotTakenForALaterOne(t *testing.T) {
	for _, test := range []struct {
		name   string
		ids    []string
		dialed int
	}{
		{"no IDs", []string{"", "", ""}, 3},
		{"the same ID", []string{"1", "1"}, 2},
		{"an ID after none", []string{"", "1"}, 2},
		{"no ID after one", []string{"1", ""}, 2},
		{"other IDs", []string{"1", "2", "3"}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			dialed := 0
			address, _ := server(c, repeater())
			client := uphttp.New(decode, time.Now, func() { dialed++ })
			seen := map[string]bool{}
			for _, id := range test.ids {
				body, err := send(client, address, http.MethodPost, id)
				c.Assert(err, qt.IsNil)
				c.Check(seen[body], qt.IsFalse, qt.Commentf("%s came again", body))
				seen[body] = true
			}
			c.Check(dialed, qt.Equals, test.dialed)
		})
	}
}

// repeater returns a handler for server, which answers each request with a body of its own, after the last answer on the
// connection.
func repeater() func(conn net.Conn, id string, nth int) bool {
	var mu sync.Mutex
	last, count := map[net.Conn]string{}, 0
	return func(conn net.Conn, id string, _ int) bool {
		mu.Lock()
		defer mu.Unlock()
		count++
		text := answer(id, fmt.Sprint("body ", count))
		_, _ = io.WriteString(conn, last[conn]+text)
		last[conn] = text
		return true
	}
}

// An upstream may leave out the IDs of some requests. Only then each of them has a connection of its own, unless the
// answers are alike. What comes after an answer that can't be used is not read.
func TestConnectionsAreKeptOnlyIfAnswersEchoIDs(t *testing.T) {
	c := qt.New(t)
	dialed, echoes := 0, true
	address, _ := server(c, func(conn net.Conn, id string, _ int) bool {
		if !echoes {
			id = ""
		}
		_, _ = io.WriteString(conn, answer(id, "body"))
		return true
	})
	client := uphttp.New(decode, time.Now, func() { dialed++ })
	for i, step := range []struct {
		echoes, discard, uniform bool
		dialed                   int
	}{
		{echoes: true, dialed: 1},
		{echoes: true, dialed: 1},
		{echoes: true, discard: true, dialed: 1},
		{echoes: true, discard: true, dialed: 2},
		{dialed: 3},
		{dialed: 4},
		{uniform: true, dialed: 5},
		{uniform: true, dialed: 5},
		{echoes: true, dialed: 6},
		{uniform: true, discard: true, dialed: 6},
		{uniform: true, dialed: 7},
		{echoes: true, dialed: 7},
	} {
		echoes = step.echoes
		r := omittable(fmt.Sprint(i))
		r.Uniform = step.uniform
		got, failure := client.Do(context.Background(), address, r)
		c.Assert(failure == nil, qt.IsTrue, qt.Commentf("step %d", i))
		_, err := io.Copy(io.Discard, got)
		c.Assert(err, qt.IsNil)
		if step.discard {
			got.Discard()
		}
		got.Close()
		c.Check(dialed, qt.Equals, step.dialed, qt.Commentf("step %d", i))
	}
}

// omittable returns a request whose answer may lack the ID.
func omittable(id string) uphttp.Request {
	return uphttp.Request{Method: http.MethodPost, URI: "/x", Host: "h", ID: id, MayOmitID: true, Header: http.Header{"Id": {id}}}
}

// An answer without an ID is skipped on a connection that was kept, and one with the ID of another request on any.
func TestAnswersWithoutAnIDAreSkippedOnKeptConnections(t *testing.T) {
	c := qt.New(t)
	address, _ := server(c, func(conn net.Conn, id string, nth int) bool {
		_, _ = io.WriteString(conn, answer("another", "not yours"))
		if nth > 1 {
			_, _ = io.WriteString(conn, answer("", "not yours"))
		}
		_, _ = io.WriteString(conn, answer(id, "yours"))
		return true
	})
	client := uphttp.New(decode, time.Now, func() {})
	for _, id := range []string{"1", "2"} {
		got, failure := client.Do(context.Background(), address, omittable(id))
		c.Assert(failure == nil, qt.IsTrue)
		body, err := io.ReadAll(got)
		c.Assert(err, qt.IsNil)
		c.Check(string(body), qt.Equals, "yours")
		got.Close()
	}
}

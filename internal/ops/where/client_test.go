package where_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/ops/where"
)

// An entry that follows a leader does not know stages and engines, so the leader must be asked the same.
func TestTheLeaderIsAskedToo(t *testing.T) {
	c := qt.New(t)
	asked := map[string]string{}
	serve := func(l net.Listener, a where.Answer) {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			data, _ := io.ReadAll(r.Body)
			asked[a.Entry] = string(data)
			_ = json.NewEncoder(w).Encode(a)
		}))
		_ = server.Listener.Close()
		server.Listener = l
		server.Start()
		c.Cleanup(server.Close)
	}
	var follower, leader net.Listener
	for range 20 { // a port that is free on both hosts
		var err error
		leader, err = net.Listen("tcp", "127.0.0.2:0")
		c.Assert(err, qt.IsNil)
		_, port, _ := net.SplitHostPort(leader.Addr().String())
		if follower, err = net.Listen("tcp", "127.0.0.1:"+port); err == nil {
			break
		}
		_ = leader.Close()
	}
	c.Assert(follower, qt.Not(qt.IsNil))
	serve(leader, where.Answer{Entry: "b", Decides: true, Refused: "overloaded", Status: 503, RetryAfter: 1500})
	serve(follower, where.Answer{Entry: "a", Leader: "b", LeaderAddress: "127.0.0.2"})
	got, err := where.Ask(context.Background(), follower.Addr().String(), []byte("GET / HTTP/1.1\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 2)
	c.Check(asked["a"], qt.Equals, asked["b"])
	c.Check(got[0].Text(5), qt.Contains, "follows b")
	c.Check(got[1].Text(5), qt.Contains, "refused with status 503: overloaded, Retry-After 1.50 s")
}

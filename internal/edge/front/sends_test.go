package front

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/relay"
	"github.com/ragworthatch/ragworthatch/internal/edge/rule"
)

func TestRequestsThatWereNotSentDoNotCount(t *testing.T) {
	c := qt.New(t)
	f := New(Options{Hosts: func() *hosts.Table { return hosts.New(nil, time.Now()) }, Now: time.Now})
	x := &exchange{
		Front: f, in: httptest.NewRequest("GET", "/x", nil), caller: context.Background(), out: relay.New(httptest.NewRecorder()),
		route: rule.Route{Kind: rule.Safe, Attempts: 2}, deadline: time.Now().Add(time.Minute),
	}
	for range 3 {
		_, failure := x.send(hosts.Upstream{ID: "gone"}, nil, "")
		c.Assert(failure != nil, qt.IsTrue)
		c.Check(x.again(failure), qt.IsTrue)
		c.Check(x.sends, qt.Equals, 0, qt.Commentf("an upstream that has left got nothing, and no attempt is won back by it"))
	}
}

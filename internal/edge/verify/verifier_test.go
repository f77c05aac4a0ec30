package verify_test

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/edge/hosts"
	"github.com/ragworthatch/ragworthatch/internal/edge/verify"
	"github.com/ragworthatch/ragworthatch/internal/limit/crash"
)

func TestOnlyCrashesAreReported(t *testing.T) {
	up := hosts.Upstream{ID: "e", Address: "127.0.0.1:1", StartedMs: 1}
	again := up
	again.StartedMs = 2
	for _, test := range []struct {
		name    string
		dialErr error
		listed  []hosts.Upstream // after the dial
		later   time.Duration    // after which the list is looked at
		want    int
	}{
		{"refused", syscall.ECONNREFUSED, []hosts.Upstream{up}, 0, 2},
		{"accepted", nil, []hosts.Upstream{up}, 0, 0},
		{"accepted, then gone", nil, nil, 0, 2},
		{"accepted, then started again", nil, []hosts.Upstream{again}, 0, 2},
		{"no answer", os.ErrDeadlineExceeded, []hosts.Upstream{up}, 0, 0},
		{"no answer, then gone", os.ErrDeadlineExceeded, nil, 0, 2},
		{"gone long after", nil, nil, time.Minute, 2},
		{"gone after it was forgotten", nil, []hosts.Upstream{up}, time.Minute, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var mu sync.Mutex
			got, dials := 0, 0
			now := time.Unix(1000, 0)
			table := hosts.New([]hosts.Upstream{up}, now)
			v := verify.New(verify.Options{
				Dial: func(context.Context, string, string) (net.Conn, error) {
					mu.Lock()
					defer mu.Unlock()
					dials++
					conn, other := net.Pipe()
					c.Cleanup(func() { _ = other.Close() })
					return conn, test.dialErr
				},
				Hosts: func() *hosts.Table { return table }, Now: func() time.Time { return now }, Log: zap.NewNop(),
				Report: func(crash.Report) {
					mu.Lock()
					defer mu.Unlock()
					got++
				},
			})
			var checked <-chan struct{}
			for i := range 2 {
				checked = v.AnswerBroke(up, crash.Report{Fingerprint: uint64(i), Lifetime: "e/1", Broke: now})
			}
			<-checked
			table = hosts.New(test.listed, now)
			now = now.Add(test.later)
			v.Check()
			table = hosts.New(nil, now)
			if test.later > 0 {
				v.Check()
			}
			mu.Lock()
			defer mu.Unlock()
			c.Check(got, qt.Equals, test.want)
			c.Check(dials, qt.Equals, 1, qt.Commentf("two answers broke off at the same time"))
		})
	}
}

// The check is a connection, which upstreams in evacuated zones don't get.
func TestUpstreamsInEvacuatedZonesAreNotDialed(t *testing.T) {
	up := hosts.Upstream{ID: "e", Address: "127.0.0.1:1", Zone: "z", StartedMs: 1}
	v := verify.New(verify.Options{
		Dial: func(context.Context, string, string) (net.Conn, error) {
			t.Error("dialed")
			return nil, syscall.ECONNREFUSED
		},
		Hosts: func() *hosts.Table { return hosts.New([]hosts.Upstream{up}, time.Now()).WithEvacuated([]string{"z"}) },
		Now:   time.Now, Log: zap.NewNop(), Report: func(crash.Report) { t.Error("reported") },
	})
	<-v.AnswerBroke(up, crash.Report{Lifetime: "e/1", Broke: time.Now()})
}

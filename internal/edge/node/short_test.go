package node_test

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

// A process that is about to run out of descriptors refuses requests as not run, before an upstream gets them, and serves
// again later. Where the settings name no share of the processor, it goes on as before.
func TestAnEntryShortOfDescriptorsRefusesEarly(t *testing.T) {
	for _, bounded := range []bool{true, false} {
		w := newTestbed(t)
		w.configure()
		up := w.startUpstream("plain", &cloud.Upstream{ID: "up-1"})
		more := ""
		if bounded {
			more = "limits.cpu_share=0.5"
		}
		e := w.startEntry("entry-0", more)
		w.waitReady(e, http.StatusOK)
		w.eventually(func() bool { return w.do(e, http.MethodGet, "/read/x", "warm", "").status == http.StatusOK })

		var before syscall.Rlimit
		w.c.Assert(syscall.Getrlimit(syscall.RLIMIT_NOFILE, &before), qt.IsNil)
		leaveFew := func() { // anew for each request, as earlier tests may close descriptors late
			open, err := os.ReadDir("/proc/self/fd")
			w.c.Assert(err, qt.IsNil)
			limit := syscall.Rlimit{Cur: uint64(len(open)) + 40, Max: before.Max}
			w.c.Assert(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit), qt.IsNil)
		}
		restore := func() { w.c.Check(syscall.Setrlimit(syscall.RLIMIT_NOFILE, &before), qt.IsNil) }
		refused := 0
		for i, end := 0, time.Now().Add(1500*time.Millisecond); time.Now().Before(end); i++ {
			leaveFew()
			id := fmt.Sprint(i)
			got := w.do(e, http.MethodGet, "/read/x", id, "")
			if got.status == http.StatusServiceUnavailable {
				refused++
				w.c.Check(got.header.Get("Retry-After"), qt.Not(qt.Equals), "")
				w.c.Check(up.RunCount(id), qt.Equals, 0)
			}
			time.Sleep(20 * time.Millisecond)
		}
		restore()
		w.c.Check(refused > 0, qt.Equals, bounded, qt.Commentf("%d refused", refused))
		w.eventually(func() bool { return w.do(e, http.MethodGet, "/read/x", "after", "").status == http.StatusOK })
		e.kill()
		<-e.done
	}
}

package node_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"

	qt "github.com/frankban/quicktest"
)

// The store comes back from a copy, and the operator writes a new route at an offset that the entry has read before.
func TestRoutesWrittenAgainAfterARestoreAreServed(t *testing.T) {
	w, e := startPlain(t, &cloud.Upstream{ID: "up-1"})
	copied := w.store.Copy()
	w.configure()
	time.Sleep(time.Second)
	w.store.SetStatus(http.StatusServiceUnavailable)
	time.Sleep(time.Second)
	w.store.Restore(copied)
	w.configure("/read/", "/moved/")
	w.store.SetStatus(0)
	time.Sleep(2 * time.Second)
	w.c.Check(w.do(e, http.MethodGet, "/moved/x", "id-1", "").status, qt.Equals, http.StatusOK)
}

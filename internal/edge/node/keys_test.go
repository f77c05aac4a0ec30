package node_test

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/fake/cloud"
)

const configTenants = `"tenants": [{"name": "team-one", "api_keys": ["key-one"]}]`

// A configuration that takes the last team away must not open its routes. Any key opened them, and none was asked for
// (review/13).
func TestRoutesStayClosedWithoutTeams(t *testing.T) {
	up := &cloud.Upstream{ID: "up-1"}
	w, first := startPlain(t, up)
	w.waitReady(w.startEntry("entry-2"), http.StatusOK)
	status := func(e *entry, target, key string) int {
		return w.do(e, http.MethodGet, target, "id", "", "Credential", key).status
	}
	keys := []string{"key-one", "key-of-nobody", ""}
	checkAll := func(step string, want map[string]int) {
		for _, e := range w.entries {
			for _, key := range keys {
				w.eventually(func() bool { return status(e, "/read/x", key) == want[key] })
			}
			for _, key := range keys { // which hold on once the version is in force
				w.c.Check(status(e, "/read/x", key), qt.Equals, want[key], qt.Commentf("%s: key %q", step, key))
			}
			w.c.Check(status(e, "/read/open/x", ""), qt.Equals, http.StatusOK, qt.Commentf("%s: a public route", step))
		}
	}
	closed := map[string]int{"key-one": http.StatusUnauthorized, "key-of-nobody": http.StatusUnauthorized, "": http.StatusUnauthorized}
	held := map[string]int{"key-one": http.StatusOK, "key-of-nobody": http.StatusUnauthorized, "": http.StatusUnauthorized}
	open := map[string]int{"key-one": http.StatusOK, "key-of-nobody": http.StatusOK, "": http.StatusOK}
	checkAll("at first", held)
	for _, step := range []struct {
		tenants string
		want    map[string]int
	}{
		{`"tenants": []`, closed},
		{configTenants, held},
		{`"tenants": null`, closed},
		{`"tenants": [{"name": "team-one", "api_keys": []}]`, closed},
		{configTenants, held},
		{`"otherField": []`, open}, // a configuration without the field asks for no keys
		{`"tenants": []`, closed},
	} {
		w.configure(configTenants, step.tenants)
		checkAll(step.tenants, step.want)
	}
	first.kill()
	w.entries = w.entries[1:]
	w.waitReady(w.startEntry("entry-1"), http.StatusOK)
	checkAll("after a restart", closed)
}

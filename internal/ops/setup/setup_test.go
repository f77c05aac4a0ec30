package setup_test

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/tools/txtar"

	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
)

func TestExamples(t *testing.T) {
	c := qt.New(t)
	entry, err := setup.LoadEntry("../../../examples/entry.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(entry.HTTP, qt.Equals, "10.1.0.11:8080")
	c.Assert(entry.Zone, qt.Equals, "north-a")
	side, err := setup.LoadSide("../../../examples/side.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(side.Upstream, qt.Equals, "127.0.0.1:8000")
}

func TestErrors(t *testing.T) {
	good, err := os.ReadFile("testdata/entry.yaml")
	qt.Assert(t, err, qt.IsNil)
	archive, err := txtar.ParseFile("testdata/errors.txtar")
	qt.Assert(t, err, qt.IsNil)
	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			c := qt.New(t)
			edit, want, _ := strings.Cut(strings.TrimSpace(string(f.Data)), "\n")
			parts := strings.Split(edit, "/")
			pattern := regexp.MustCompile("(?m)" + parts[1])
			c.Assert(pattern.Match(good), qt.IsTrue, qt.Commentf("the edit changes nothing"))
			file := filepath.Join(t.TempDir(), "entry.yaml")
			c.Assert(os.WriteFile(file, pattern.ReplaceAll(good, []byte(parts[2])), 0o600), qt.IsNil)
			_, err := setup.LoadEntry(file)
			var e *setup.Error
			c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(strings.HasPrefix(err.Error(), file+want), qt.IsTrue, qt.Commentf("got %q", err.Error()))
		})
	}
	_, err = setup.LoadEntry("testdata/missing.yaml")
	qt.Assert(t, err, qt.ErrorMatches, "testdata/missing.yaml: expected a readable file, .*")
	_, err = setup.LoadEntry("testdata/entry.yaml")
	qt.Assert(t, err, qt.IsNil)
}

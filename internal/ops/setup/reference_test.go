package setup_test

import (
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/ops/setup"
)

// yamlNames returns the YAML names of the fields of a struct, without those of embedded structs.
func yamlNames(v any) []string {
	var names []string
	t := reflect.TypeOf(v)
	for i := range t.NumField() {
		if f := t.Field(i); !f.Anonymous {
			names = append(names, f.Tag.Get("yaml"))
		}
	}
	return names
}

var rowPattern = regexp.MustCompile("(?m)^\\| `(\\w+)` \\| (yes|no) \\|")

func TestReferenceNamesEachSettingOnce(t *testing.T) {
	c := qt.New(t)
	doc, err := os.ReadFile("../../../docs/SETTINGS.md")
	c.Assert(err, qt.IsNil)
	for heading, settings := range map[string]any{
		"## Both roles\n": setup.Common{}, "## Entries\n": setup.Entry{}, "## Sides\n": setup.Side{},
	} {
		_, section, found := strings.Cut(string(doc), heading)
		c.Assert(found, qt.IsTrue, qt.Commentf("%q", heading))
		section, _, _ = strings.Cut(section, "\n## ")
		var documented []string
		for _, m := range rowPattern.FindAllStringSubmatch(section, -1) {
			documented = append(documented, m[1])
		}
		c.Assert(documented, qt.ContentEquals, yamlNames(settings))
	}
}

// TestReferenceMarksRequiredSettings guards against a wrong mark in docs/SETTINGS.md: it omits each setting of an
// example in turn, and loading must fail exactly for the required ones.
func TestReferenceMarksRequiredSettings(t *testing.T) {
	c := qt.New(t)
	doc, err := os.ReadFile("../../../docs/SETTINGS.md")
	c.Assert(err, qt.IsNil)
	required := map[string]bool{}
	for _, m := range rowPattern.FindAllStringSubmatch(string(doc), -1) {
		required[m[1]] = m[2] == "yes"
	}
	entry := func(file string) error { _, err := setup.LoadEntry(file); return err }
	side := func(file string) error { _, err := setup.LoadSide(file); return err }
	for name, load := range map[string]func(string) error{"entry": entry, "side": side} {
		data, err := os.ReadFile("../../../examples/" + name + ".yaml")
		c.Assert(err, qt.IsNil)
		for _, m := range regexp.MustCompile(`(?m)^(\w+):.*\n(?:  - .*\n)*`).FindAllStringSubmatch(string(data), -1) {
			file := c.TempDir() + "/settings.yaml"
			c.Assert(os.WriteFile(file, []byte(strings.Replace(string(data), m[0], "", 1)), 0o600), qt.IsNil)
			c.Assert(load(file) != nil, qt.Equals, required[m[1]], qt.Commentf("%s of %s", m[1], name))
		}
	}
}

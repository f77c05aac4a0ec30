package decl_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/model/preset"
)

// TestReferenceNamesEveryField guards against a field that is missing from its section of docs/CONFIGURATION.md.
func TestReferenceNamesEveryField(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	c.Assert(err, qt.IsNil)
	sections := map[string]string{}
	for _, section := range strings.Split(string(page), "\n## ")[1:] {
		title, text, _ := strings.Cut(section, "\n")
		sections[strings.ToLower(title)] = text
	}
	lists := reflect.TypeFor[config.Objects]()
	for i := range lists.NumField() {
		list := lists.Field(i)
		text := sections[list.Tag.Get("yaml")]
		c.Assert(text, qt.Not(qt.Equals), "", qt.Commentf("section %q", list.Tag.Get("yaml")))
		for _, name := range fields(list.Type.Elem()) {
			c.Check(text, qt.Contains, "`"+name+"`")
		}
	}
	for _, name := range fields(reflect.TypeFor[preset.PipelineSettings]()) {
		c.Check(sections["presets"], qt.Contains, "`"+name+"`")
	}
}

// fields returns the YAML names of the fields of a struct.
func fields(of reflect.Type) []string {
	var names []string
	for i := range of.NumField() {
		names = append(names, of.Field(i).Tag.Get("yaml"))
	}
	return names
}

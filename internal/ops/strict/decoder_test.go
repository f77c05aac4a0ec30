package strict_test

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/ops/strict"
)

type sample struct {
	Name  string   `yaml:"name"`
	Zones []string `yaml:"zones"`
}

func TestDecode(t *testing.T) {
	c := qt.New(t)
	d := strict.New([]byte("name: a\n---\nname: b\nzones: [x]\n"))
	var s sample
	c.Assert(d.Decode(&s), qt.IsNil)
	c.Assert(d.Decode(&s), qt.IsNil)
	c.Assert(s, qt.DeepEquals, sample{Name: "b", Zones: []string{"x"}})
	c.Assert(d.Decode(&s), qt.Equals, io.EOF)
	for _, bad := range []string{
		"other: 1", "name: a\nname: b", "zones: 7", "name: [",
		"zones: !tag ", // the library panics
	} {
		c.Check(strict.New([]byte(bad)).Decode(&s), qt.IsNotNil, qt.Commentf("%s", bad))
	}
}

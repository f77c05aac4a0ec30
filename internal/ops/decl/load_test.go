package decl

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
)

const exampleDir = "../../../examples/config"

func TestExampleIsValid(t *testing.T) {
	c := qt.New(t)
	d, err := Load(exampleDir)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Check(), qt.HasLen, 0)
	set := d.Objects.Set().WithInForce("peak")
	var names []string
	for _, s := range set.StagesOf("summary") {
		names = append(names, s.Name)
	}
	c.Assert(names, qt.DeepEquals, []string{"encode", "retrieve", "generate"})
	c.Assert(set.StagesOf("transfer")[0].IsAction(), qt.IsTrue)
}

func TestInvalidFiles(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile("testdata/faults.yaml")
	c.Assert(err, qt.IsNil)
	var cases []struct {
		Name  string `yaml:"name"`
		File  string `yaml:"file"`
		Error string `yaml:"error"`
	}
	c.Assert(yaml.UnmarshalWithOptions(data, &cases, yaml.Strict()), qt.IsNil)
	for _, test := range cases {
		c.Run(test.Name, func(c *qt.C) {
			file := filepath.Join(c.TempDir(), "a.yaml")
			c.Assert(os.WriteFile(file, []byte(test.File), 0o600), qt.IsNil)
			_, err := Load(file)
			c.Assert(err, qt.ErrorMatches, strings.ReplaceAll(quoteExpected(test.Error), "FILE", regexp.QuoteMeta(file)))
		})
	}
}

// quoteExpected escapes an expected error for use as a pattern, except for the wildcard ".*".
func quoteExpected(text string) string {
	return strings.ReplaceAll(regexp.QuoteMeta(text), `\.\*`, `.*`)
}

func TestCheckReportsPosition(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "a.yaml")
	c.Assert(os.WriteFile(file, []byte("pools: []\npipelines:\n  - name: empty\n    deadlineMs: 1\n    stages: [none]\n"), 0o600), qt.IsNil)
	d, err := Load(file)
	c.Assert(err, qt.IsNil)
	c.Assert(d.Positions[config.Ref{Kind: config.Pipelines, Name: "empty"}].Line, qt.Equals, 3)
	problems := d.Check()
	c.Assert(problems, qt.HasLen, 1)
	c.Assert(problems[0], qt.ErrorMatches, regexp.QuoteMeta(file)+`:3: pipelines/empty: stages: a stage that exists, not "none"`)
}

func TestLoadNeedsFiles(t *testing.T) {
	c := qt.New(t)
	_, err := Load(c.TempDir())
	c.Assert(err, qt.ErrorMatches, `directory .* holds no .yaml or .yml file`)
	_, err = Load("missing.yaml")
	c.Assert(err, qt.ErrorIs, os.ErrNotExist)
}

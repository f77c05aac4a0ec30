package mutant_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"
)

const (
	root    = "../../.." // of the repository
	timeout = "20s"      // of one run of tests
	atOnce  = 3          // runs of the go command
)

// runVariable makes TestMutantsFail run; without it only the table is checked.
const runVariable = "RAGWORTHATCH_MUTANTS"

// mutant is one mechanism taken out.
type mutant struct {
	Rule string `yaml:"rule"`
	File string `yaml:"file"`
	From string `yaml:"from"` // text that occurs once in the file
	To   string `yaml:"to"`
	Test string `yaml:"test"`
	In   string `yaml:"in"` // package of the test
}

func read(c *qt.C) []mutant {
	data, err := os.ReadFile("testdata/mutants.yaml")
	c.Assert(err, qt.IsNil)
	var out []mutant
	c.Assert(yaml.UnmarshalWithOptions(data, &out, yaml.Strict()), qt.IsNil)
	return out
}

// TestMutantsApply checks that each row still names code and a test that exist.
func TestMutantsApply(t *testing.T) {
	c := qt.New(t)
	for _, m := range read(c) {
		source, err := os.ReadFile(filepath.Join(root, m.File))
		c.Assert(err, qt.IsNil)
		c.Check(strings.Count(string(source), m.From), qt.Equals, 1, qt.Commentf("%s: %q in %s", m.Rule, m.From, m.File))
		files, err := filepath.Glob(filepath.Join(root, m.In, "*_test.go"))
		c.Assert(err, qt.IsNil)
		found := false
		for _, file := range files {
			text, err := os.ReadFile(file)
			c.Assert(err, qt.IsNil)
			found = found || strings.Contains(string(text), "func "+m.Test+"(")
		}
		c.Check(found, qt.IsTrue, qt.Commentf("%s in %s", m.Test, m.In))
	}
}

// TestMutantsFail runs the test of each row without the mechanism.
func TestMutantsFail(t *testing.T) {
	if os.Getenv(runVariable) == "" {
		t.Skipf("builds the program once for each row; set %s=1", runVariable)
	}
	c := qt.New(t)
	slots := make(chan struct{}, atOnce)
	for i, m := range read(c) {
		t.Run(fmt.Sprintf("%d %s", i, m.Test), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			c := qt.New(t)
			output, failed := run(c, m)
			c.Check(failed, qt.IsTrue, qt.Commentf("%s holds without its mechanism", m.Rule))
			c.Check(output, qt.Not(qt.Contains), "[build failed]", qt.Commentf(m.Rule))
		})
	}
}

// run runs the test with the changed file in place of the one of the tree.
func run(c *qt.C, m mutant) (output string, failed bool) {
	c.Helper()
	path, err := filepath.Abs(filepath.Join(root, m.File))
	c.Assert(err, qt.IsNil)
	source, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	folder := c.TempDir()
	changed, overlay := filepath.Join(folder, filepath.Base(path)), filepath.Join(folder, "overlay.json")
	c.Assert(os.WriteFile(changed, []byte(strings.Replace(string(source), m.From, m.To, 1)), 0o600), qt.IsNil)
	plan, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(overlay, plan, 0o600), qt.IsNil)
	command := exec.CommandContext(c.Context(), "go", "test", "-vet=off", "-overlay", overlay, "-timeout", timeout,
		"-run", "^"+m.Test+"$", "./"+m.In)
	command.Dir = root
	out, err := command.CombinedOutput()
	return string(out), err != nil
}

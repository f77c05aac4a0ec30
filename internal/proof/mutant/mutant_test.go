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
	root        = "../../.." // of the repository
	timeout     = "20s"      // of one test run
	maxParallel = 3          // runs of the go command
)

// runVariable enables TestMutantsFail; without it only the table is checked.
const runVariable = "RAGWORTHATCH_MUTANTS"

// mutant is a change of the code that removes one mechanism.
type mutant struct {
	Rule string `yaml:"rule"`
	File string `yaml:"file"`
	From string `yaml:"from"` // text that occurs once in the file
	To   string `yaml:"to"`
	Test string `yaml:"test"`
	In   string `yaml:"in"` // package of the test
}

func readMutants(c *qt.C) []mutant {
	data, err := os.ReadFile("testdata/mutants.yaml")
	c.Assert(err, qt.IsNil)
	var out []mutant
	c.Assert(yaml.UnmarshalWithOptions(data, &out, yaml.Strict()), qt.IsNil)
	return out
}

// TestMutantsApply checks that the code and the test that each row names exist.
func TestMutantsApply(t *testing.T) {
	c := qt.New(t)
	for _, m := range readMutants(c) {
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

// TestMutantsFail runs the test of each row without the mechanism and checks that it fails.
func TestMutantsFail(t *testing.T) {
	if os.Getenv(runVariable) == "" {
		t.Skipf("builds the program once for each row; set %s=1", runVariable)
	}
	c := qt.New(t)
	slots := make(chan struct{}, maxParallel)
	for i, m := range readMutants(c) {
		t.Run(fmt.Sprintf("%d %s", i, m.Test), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			c := qt.New(t)
			output, failed := runTest(c, m)
			c.Check(failed, qt.IsTrue, qt.Commentf("rule holds without its mechanism: %s", m.Rule))
			c.Check(output, qt.Not(qt.Contains), "[build failed]", qt.Commentf(m.Rule))
		})
	}
}

// runTest runs the test of a mutant, with an overlay that replaces the file by the changed one.
func runTest(c *qt.C, m mutant) (output string, failed bool) {
	c.Helper()
	path, err := filepath.Abs(filepath.Join(root, m.File))
	c.Assert(err, qt.IsNil)
	source, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	folder := c.TempDir()
	changed, overlay := filepath.Join(folder, filepath.Base(path)), filepath.Join(folder, "overlay.json")
	c.Assert(os.WriteFile(changed, []byte(strings.Replace(string(source), m.From, m.To, 1)), 0o600), qt.IsNil)
	replacements, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(overlay, replacements, 0o600), qt.IsNil)
	command := exec.CommandContext(c.Context(), "go", "test", "-vet=off", "-overlay", overlay, "-timeout", timeout,
		"-run", "^"+m.Test+"$", "./"+m.In)
	command.Dir = root
	out, err := command.CombinedOutput()
	return string(out), err != nil
}

package meter_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestEveryMetricIsOnTheOperatorsPage guards against a metric that docs/OPERATIONS.md does not describe.
func TestEveryMetricIsOnTheOperatorsPage(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	name := regexp.MustCompile(`meter\.Spec\{Name: "(\w+)"`)
	found := 0
	for _, dir := range []string{"../../entry", "../../sidecar"} {
		err := filepath.WalkDir(dir, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			code, err := os.ReadFile(path)
			for _, m := range name.FindAllSubmatch(code, -1) {
				found++
				c.Check(string(page), qt.Contains, "`"+string(m[1])+"`")
			}
			return err
		})
		c.Assert(err, qt.IsNil)
	}
	c.Check(found > 15, qt.IsTrue)
}

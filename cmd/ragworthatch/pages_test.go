package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var linkPattern = regexp.MustCompile(`\]\(([^)#]+)[^)]*\)`)

func TestPageLinksResolve(t *testing.T) {
	c := qt.New(t)
	pages, err := filepath.Glob("../../docs/*.md")
	c.Assert(err, qt.IsNil)
	notes, err := filepath.Glob("../../docs/design/*.md")
	c.Assert(err, qt.IsNil)
	for _, page := range append(append(pages, notes...), "../../README.md", "../../CHANGELOG.md") {
		data, err := os.ReadFile(page)
		c.Assert(err, qt.IsNil)
		for _, m := range linkPattern.FindAllStringSubmatch(string(data), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), m[1]))
			c.Check(err, qt.IsNil, qt.Commentf("link of %s", page))
		}
	}
}

func TestPagesNameOnlyCommandsThatExist(t *testing.T) {
	c := qt.New(t)
	known := map[string]bool{"help": true}
	for _, command := range commands(&streams{}) {
		known[command.name] = true
	}
	named := regexp.MustCompile(`(?m)^ {4}(?:go run \./cmd/)?ragworthatch ([a-z]+)`)
	pages, err := filepath.Glob("../../docs/*.md")
	c.Assert(err, qt.IsNil)
	for _, page := range append(pages, "../../README.md") {
		data, err := os.ReadFile(page)
		c.Assert(err, qt.IsNil)
		for _, m := range named.FindAllStringSubmatch(string(data), -1) {
			c.Check(known[m[1]], qt.IsTrue, qt.Commentf("%s names %q", page, m[1]))
		}
	}
}

package decl

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/ops/strict"
)

// Place is where an object is declared.
type Place struct {
	File string
	Line int // from 1, 0 if unknown
}

// Declared holds the objects of some files.
type Declared struct {
	Objects config.Objects
	Places  map[config.Ref]Place
}

// Load reads YAML files, and of directories all files that end in .yaml or .yml; its errors are *Error, joined.
func Load(paths ...string) (*Declared, error) {
	files, err := expand(paths)
	if err != nil {
		return nil, err
	}
	d := &Declared{Places: map[config.Ref]Place{}}
	var faults []error
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if err := d.add(file, data); err != nil {
			faults = append(faults, err)
		}
	}
	return d, errors.Join(faults...)
}

func expand(paths []string) ([]string, error) {
	var files []string
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, path)
			continue
		}
		inside, err := yamlFiles(path)
		if err != nil {
			return nil, err
		}
		files = append(files, inside...)
	}
	return files, nil
}

func yamlFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var files []string
	for _, e := range entries {
		ext := filepath.Ext(e.Name())
		if !e.IsDir() && (ext == ".yaml" || ext == ".yml") {
			files = append(files, filepath.Join(dir, e.Name()))
		}
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("directory %q holds no .yaml or .yml file", dir)
	}
	return files, nil
}

// add reads the documents of one file.
func (d *Declared) add(file string, data []byte) error {
	lines := objectLines(data)
	decoder := strict.New(data)
	for doc := 0; ; doc++ {
		var o config.Objects
		err := decoder.Decode(&o)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fromYAML(file, err)
		}
		if err := d.merge(file, lines, doc, o); err != nil {
			return err
		}
	}
}

func (d *Declared) merge(file string, lines map[string]int, doc int, o config.Objects) error {
	counts := map[config.Kind]int{}
	for _, ref := range o.Refs() {
		at := Place{File: file, Line: lines[lineKey(doc, ref.Kind, counts[ref.Kind])]}
		counts[ref.Kind]++
		if first, ok := d.Places[ref]; ok {
			expected := fmt.Sprintf("one declaration only, the first is at %s:%d", first.File, first.Line)
			return &Error{File: at.File, Line: at.Line, Field: ref.String(), Expected: expected}
		}
		d.Places[ref] = at
	}
	d.Objects.Pools = append(d.Objects.Pools, o.Pools...)
	d.Objects.Stages = append(d.Objects.Stages, o.Stages...)
	d.Objects.Pipelines = append(d.Objects.Pipelines, o.Pipelines...)
	d.Objects.Presets = append(d.Objects.Presets, o.Presets...)
	d.Objects.Teams = append(d.Objects.Teams, o.Teams...)
	return nil
}

func lineKey(doc int, kind config.Kind, index int) string {
	return fmt.Sprintf("%d %s %d", doc, kind, index)
}

// objectLines finds the line on which each object of a file starts.
func objectLines(data []byte) map[string]int {
	lines := map[string]int{}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		return lines
	}
	for doc, d := range parsed.Docs {
		for _, kind := range config.Kinds() {
			for i := 0; ; i++ {
				path, err := yaml.PathString(fmt.Sprintf("$.%s[%d]", kind, i))
				if err != nil || d.Body == nil {
					break
				}
				node, err := path.FilterNode(d.Body)
				if err != nil || node == nil {
					break
				}
				lines[lineKey(doc, kind, i)] = node.GetToken().Position.Line
			}
		}
	}
	return lines
}

// Check validates the objects as a whole configuration; its errors are *Error.
func (d *Declared) Check() []error { return d.Explain(d.Objects.Set().Validate()) }

// Explain puts the problems of a configuration at the places of the objects.
func (d *Declared) Explain(problems []config.Problem) []error {
	var list []error
	for _, p := range problems {
		e := &Error{Field: p.Object + ": " + p.Field, Expected: p.Expected}
		if ref, err := config.ParseRef(p.Object); err == nil {
			e.File = d.Places[ref].File
			e.Line = d.Places[ref].Line
		}
		if e.File == "" {
			e.File = "(all files)"
		}
		list = append(list, e)
	}
	slices.SortStableFunc(list, func(a, b error) int { return strings.Compare(a.(*Error).File, b.(*Error).File) })
	return list
}

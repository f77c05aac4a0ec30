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

// Position is where an object is declared.
type Position struct {
	File string
	Line int // from 1, 0 if unknown
}

// Declarations holds the objects that a set of files declares.
type Declarations struct {
	Objects   config.Objects
	Positions map[config.Ref]Position
}

// Load reads YAML files, and all .yaml and .yml files of directories. Invalid declarations are joined *Error values,
// one a file; a path that can't be read is another error.
func Load(paths ...string) (*Declarations, error) {
	files, err := expandPaths(paths)
	if err != nil {
		return nil, err
	}
	d := &Declarations{Positions: map[config.Ref]Position{}}
	var faults []error
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if err := d.decodeFile(file, data); err != nil {
			faults = append(faults, err)
		}
	}
	return d, errors.Join(faults...)
}

// expandPaths replaces directories by the YAML files in them.
func expandPaths(paths []string) ([]string, error) {
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

// yamlFiles returns the YAML files of a directory; it is an error if there are none.
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

// decodeFile decodes the documents of one file and adds their objects.
func (d *Declarations) decodeFile(file string, data []byte) error {
	lines := objectLines(data)
	decoder := strict.New(data)
	for doc := 0; ; doc++ {
		var o config.Objects
		err := decoder.Decode(&o)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return convertYAMLError(file, err)
		}
		if err := d.merge(file, lines, doc, o); err != nil {
			return err
		}
	}
}

// merge adds the objects of one document. It returns an *Error for an object that is declared twice.
func (d *Declarations) merge(file string, lines map[string]int, doc int, o config.Objects) error {
	counts := map[config.Kind]int{}
	for _, ref := range o.Refs() {
		position := Position{File: file, Line: lines[lineKey(doc, ref.Kind, counts[ref.Kind])]}
		counts[ref.Kind]++
		if first, ok := d.Positions[ref]; ok {
			expected := fmt.Sprintf("one declaration only, the first is at %s:%d", first.File, first.Line)
			return &Error{File: position.File, Line: position.Line, Field: ref.String(), Expected: expected}
		}
		d.Positions[ref] = position
	}
	d.Objects.Pools = append(d.Objects.Pools, o.Pools...)
	d.Objects.Stages = append(d.Objects.Stages, o.Stages...)
	d.Objects.Pipelines = append(d.Objects.Pipelines, o.Pipelines...)
	d.Objects.Presets = append(d.Objects.Presets, o.Presets...)
	d.Objects.Teams = append(d.Objects.Teams, o.Teams...)
	return nil
}

// lineKey identifies an object of a file in the result of objectLines.
func lineKey(doc int, kind config.Kind, index int) string {
	return fmt.Sprintf("%d %s %d", doc, kind, index)
}

// objectLines returns the line on which each object of a file starts, by lineKey.
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

// Check validates the objects as a complete configuration; its errors are *Error.
func (d *Declarations) Check() []error { return d.Locate(d.Objects.Set().Validate()) }

// Locate converts the problems of a configuration to *Error values with the positions of the objects, sorted by file.
func (d *Declarations) Locate(problems []config.Problem) []error {
	var list []error
	for _, p := range problems {
		e := &Error{Field: p.Object + ": " + p.Field, Expected: p.Expected}
		if ref, err := config.ParseRef(p.Object); err == nil {
			e.File = d.Positions[ref].File
			e.Line = d.Positions[ref].Line
		}
		if e.File == "" {
			e.File = "(all files)"
		}
		list = append(list, e)
	}
	slices.SortStableFunc(list, func(a, b error) int { return strings.Compare(a.(*Error).File, b.(*Error).File) })
	return list
}

package setup

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/ragworthatch/ragworthatch/internal/ops/strict"
)

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// LoadEntry loads the settings of an entry; its errors are *Error.
func LoadEntry(file string) (Entry, error) {
	return load(file, Entry.fields)
}

// LoadSide loads the settings of a side; its errors are *Error.
func LoadSide(file string) (Side, error) {
	return load(file, Side.fields)
}

// load reads and parses a settings file.
func load[T any](file string, fields func(T) []field) (T, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		var none T
		return none, &Error{File: file, Expected: "a readable file", Found: err.Error()}
	}
	return parse(file, data, fields)
}

// parse decodes settings and validates their fields. It returns the first error.
func parse[T any](file string, data []byte, fields func(T) []field) (T, error) {
	var settings, none T
	if len(data) > maxFileBytes {
		return none, &Error{File: file, Expected: fmt.Sprintf("at most %d bytes", maxFileBytes), Found: fmt.Sprint(len(data))}
	}
	if err := strict.New(data).Decode(&settings); err != nil {
		return none, decodeError(file, data, err)
	}
	for _, f := range fields(settings) {
		if !f.valid(f.value) {
			return none, fieldError(file, data, f)
		}
	}
	return settings, nil
}

var (
	quotedPattern = regexp.MustCompile(`"([^"]+)"`)
	keyPattern    = regexp.MustCompile(`^[\s-]*(\w+):`)
)

// decodeError converts an error of the YAML library into an *Error.
func decodeError(file string, data []byte, err error) error {
	var y yaml.Error
	if !errors.As(err, &y) {
		return &Error{File: file, Expected: "valid YAML", Found: err.Error()}
	}
	line := y.GetToken().Position.Line
	out := &Error{File: file, Line: line, Field: keyAt(data, line), Expected: "valid YAML", Found: y.GetMessage()}
	if m := quotedPattern.FindStringSubmatch(y.GetMessage()); m != nil {
		out.Field = m[1]
	}
	var unknown *yaml.UnknownFieldError
	var wrongType *yaml.TypeError
	var wrongNode *yaml.UnexpectedNodeTypeError
	switch {
	case errors.As(err, &unknown):
		out.Expected, out.Found = "a field of docs/SETTINGS.md", "an unknown one"
	case strings.Contains(y.GetMessage(), "already defined"):
		out.Expected, out.Found = "each field once", "a second one"
	case errors.As(err, &wrongType):
		out.Expected, out.Found = "a value of type "+wrongType.DstType.String(), "a value of type "+wrongType.SrcType.String()
	case errors.As(err, &wrongNode):
		out.Expected, out.Found = "a "+wrongNode.Expected.YAMLName(), "a "+wrongNode.Actual.YAMLName()
	}
	return out
}

// keyAt returns the key on a line of the file; empty if there is none.
func keyAt(data []byte, line int) string {
	lines := bytes.Split(data, []byte("\n"))
	if line < 1 || line > len(lines) {
		return ""
	}
	if m := keyPattern.FindSubmatch(lines[line-1]); m != nil {
		return string(m[1])
	}
	return ""
}

// fieldError returns the error for a field whose value is not valid.
func fieldError(file string, data []byte, f field) error {
	out := &Error{File: file, Field: f.path, Expected: f.expected, Found: fmt.Sprintf("%q", f.value)}
	if f.value == "" {
		out.Found = "nothing"
	}
	out.Line = lineOf(data, f.path)
	return out
}

// lineOf returns the line of a field's value; 0 if the file does not contain the field.
func lineOf(data []byte, path string) int {
	tree, err := parser.ParseBytes(data, 0)
	if err != nil {
		return 0
	}
	p, err := yaml.PathString("$." + strings.TrimPrefix(path, "."))
	if err != nil {
		return 0
	}
	var node ast.Node
	if node, err = p.FilterFile(tree); err != nil {
		return 0
	}
	return node.GetToken().Position.Line
}

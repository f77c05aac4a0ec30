package decl

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/token"
)

// Error is an error in a declaration file.
type Error struct {
	File     string `json:"file"`
	Line     int    `json:"line"` // from 1, 0 if unknown
	Field    string `json:"field"`
	Expected string `json:"expected"`
}

// Error formats the error as file:line: field: expected.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", position, e.Expected)
	}
	return fmt.Sprintf("%s: %s: %s", position, e.Field, e.Expected)
}

// convertYAMLError converts an error of the YAML library into an *Error.
func convertYAMLError(file string, err error) error {
	var y yaml.Error
	if !errors.As(err, &y) {
		return &Error{File: file, Expected: err.Error()}
	}
	e := &Error{File: file, Expected: y.GetMessage()}
	if t := y.GetToken(); t != nil {
		e.Line = t.Position.Line
		e.Field = t.Value
	}
	var wrong *yaml.TypeError
	if errors.As(err, &wrong) {
		e.Field = keyBefore(wrong.Token)
		e.Expected = fmt.Sprintf("a value of type %s, not %s", wrong.DstType, wrong.SrcType)
	}
	return e
}

// keyBefore returns the key of a value, or the value itself if it has no key, as in a list.
func keyBefore(value *token.Token) string {
	colon := value.Prev
	if colon == nil || colon.Type != token.MappingValueType || colon.Prev == nil {
		return value.Value
	}
	return colon.Prev.Value
}

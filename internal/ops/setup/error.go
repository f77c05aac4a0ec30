package setup

import "fmt"

// Error is an error in a settings file.
type Error struct {
	File     string
	Line     int // from 1, 0 if unknown
	Field    string
	Expected string
	Found    string
}

// Error formats the position, the field, and the expected and the found value.
func (e *Error) Error() string {
	position := e.File
	if e.Line > 0 {
		position = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	field := ""
	if e.Field != "" {
		field = fmt.Sprintf(" field %q:", e.Field)
	}
	return fmt.Sprintf("%s:%s expected %s, found %s", position, field, e.Expected, e.Found)
}

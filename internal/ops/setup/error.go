package setup

import "fmt"

// Error is a fault in a settings file.
type Error struct {
	File     string
	Line     int // 0 when the fault has no place
	Field    string
	Expected string
	Found    string
}

// Error names the file, the line, the field, and what was expected.
func (e *Error) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	field := ""
	if e.Field != "" {
		field = fmt.Sprintf(" field %q:", e.Field)
	}
	return fmt.Sprintf("%s:%s expected %s, found %s", place, field, e.Expected, e.Found)
}

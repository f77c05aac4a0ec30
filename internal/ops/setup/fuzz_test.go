package setup

import (
	"errors"
	"os"
	"testing"
)

// FuzzSettings parses arbitrary bytes as a settings file: each error must name the file and the expected value, and
// accepted settings must be valid.
func FuzzSettings(f *testing.F) {
	for _, file := range []string{"testdata/entry.yaml", "../../../examples/entry.yaml", "../../../examples/side.yaml"} {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("zones: {a: 1}\nzones: [b]"))
	f.Add([]byte("- &a [*a]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := parse("file.yaml", data, Entry.fields)
		if err == nil {
			if !isAddress(s.HTTP) || !isName(s.Name) {
				t.Fatalf("passed: %+v", s)
			}
			return
		}
		var e *Error
		if !errors.As(err, &e) || e.File != "file.yaml" || e.Expected == "" {
			t.Fatalf("error %#v", err)
		}
	})
}

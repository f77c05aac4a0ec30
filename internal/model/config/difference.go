package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is a field in which two declarations of an object differ; an empty value means that the field is missing.
type Difference struct {
	Field  string `json:"field"`
	Yours  string `json:"yours"`
	Theirs string `json:"theirs"`
}

// Differences compares two declarations of the same kind field by field, ordered by field; nil means no declaration.
func Differences(yours, theirs any) []Difference {
	mine, other := fields(yours), fields(theirs)
	names := maps.Clone(mine)
	maps.Copy(names, other)
	var list []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if mine[name] != other[name] {
			list = append(list, Difference{Field: name, Yours: mine[name], Theirs: other[name]})
		}
	}
	return list
}

// fields returns the JSON of each field of a declaration by its path; fields of nested objects have a path each.
func fields(spec any) map[string]string {
	out := map[string]string{}
	data, err := json.Marshal(spec)
	if err != nil {
		return out
	}
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		return out
	}
	flatten("", v, out)
	return out
}

// flatten adds the JSON of v, or of each field nested in it, to out by path.
func flatten(path string, v any, out map[string]string) {
	nested, ok := v.(map[string]any)
	if !ok || len(nested) == 0 {
		if v != nil {
			text, _ := json.Marshal(v) // cannot fail: v was decoded from JSON
			out[path] = string(text)
		}
		return
	}
	for name, value := range nested {
		fieldPath := name
		if path != "" {
			fieldPath = fmt.Sprintf("%s.%s", path, name)
		}
		flatten(fieldPath, value, out)
	}
}

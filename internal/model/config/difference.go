package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Difference is one field in which two declarations of an object differ; an empty text means that it is missing.
type Difference struct {
	Field  string `json:"field"`
	Yours  string `json:"yours"`
	Theirs string `json:"theirs"`
}

// Differences compares two declarations of one kind field by field, in a fixed order; nil stands for none.
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

// fields renders each field of a declaration as JSON, those of nested maps by their path.
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

func flatten(path string, v any, out map[string]string) {
	nested, ok := v.(map[string]any)
	if !ok || len(nested) == 0 {
		if v != nil {
			text, _ := json.Marshal(v) // came from JSON
			out[path] = string(text)
		}
		return
	}
	for name, inner := range nested {
		at := name
		if path != "" {
			at = fmt.Sprintf("%s.%s", path, name)
		}
		flatten(at, inner, out)
	}
}

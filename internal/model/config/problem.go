package config

import (
	"cmp"
	"fmt"
	"slices"
)

// Problem is one validation error of a configuration.
type Problem struct {
	Object   string `json:"object"` // in the form of Ref.String
	Field    string `json:"field"`
	Expected string `json:"expected"` // what the field must hold
}

// String renders the problem on one line.
func (p Problem) String() string { return fmt.Sprintf("%s: %s: %s", p.Object, p.Field, p.Expected) }

// problems collects the validation errors of one object.
type problems struct {
	ref  Ref
	list []Problem
}

// add adds a problem with a field; format and args tell what the field must hold.
func (p *problems) add(field, format string, args ...any) {
	p.list = append(p.list, Problem{Object: p.ref.String(), Field: field, Expected: fmt.Sprintf(format, args...)})
}

// require adds a problem unless ok.
func (p *problems) require(ok bool, field, format string, args ...any) {
	if !ok {
		p.add(field, format, args...)
	}
}

// requireUnique adds a problem for each repeated string in a list.
func (p *problems) requireUnique(field string, list []string) {
	seen := make(map[string]bool, len(list))
	for _, text := range list {
		p.require(!seen[text], field, "%q only once", text)
		seen[text] = true
	}
}

func sortProblems(list []Problem) []Problem {
	slices.SortFunc(list, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Object, b.Object), cmp.Compare(a.Field, b.Field), cmp.Compare(a.Expected, b.Expected))
	})
	return list
}

package config

import (
	"fmt"
	"strings"
)

// Kind names a kind of declared object.
type Kind string

// The kinds, in the order in which they refer to each other.
const (
	Pools     Kind = "pools"
	Stages    Kind = "stages"
	Pipelines Kind = "pipelines"
	Presets   Kind = "presets"
	Teams     Kind = "teams"
	// InForce is the kind of the reference to the choice of the preset in force, which has no name.
	InForce Kind = "inForce"
)

// Kinds returns the kinds of declared objects in order.
func Kinds() []Kind { return []Kind{Pools, Stages, Pipelines, Presets, Teams} }

// Ref is a reference to an object, such as "teams/acme".
type Ref struct {
	Kind Kind
	Name string
}

// InForceRef returns the reference to the choice of the preset in force.
func InForceRef() Ref { return Ref{Kind: InForce} }

// ParseRef parses the form that String returns.
func ParseRef(text string) (Ref, error) {
	if text == string(InForce) {
		return InForceRef(), nil
	}
	kind, name, ok := strings.Cut(text, "/")
	if !ok || name == "" {
		return Ref{}, fmt.Errorf("reference %q is not of the form kind/name", text)
	}
	for _, k := range Kinds() {
		if kind == string(k) {
			return Ref{Kind: k, Name: name}, nil
		}
	}
	return Ref{}, fmt.Errorf("reference %q is of unknown kind %q", text, kind)
}

// String renders the reference as kind/name.
func (r Ref) String() string {
	if r.Kind == InForce {
		return string(InForce)
	}
	return string(r.Kind) + "/" + r.Name
}

// MarshalText implements encoding.TextMarshaler.
func (r Ref) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Ref) UnmarshalText(text []byte) error {
	parsed, err := ParseRef(string(text))
	*r = parsed
	return err
}

// Compare orders references by kind and name.
func (r Ref) Compare(o Ref) int {
	if r.Kind != o.Kind {
		return strings.Compare(string(r.Kind), string(o.Kind))
	}
	return strings.Compare(r.Name, o.Name)
}

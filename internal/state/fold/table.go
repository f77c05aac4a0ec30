package fold

import (
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
	"github.com/ragworthatch/ragworthatch/internal/state/trie"
)

// Meta describes the record that last set an object.
type Meta struct {
	Revision int64  `json:"revision"` // offset of the record
	Author   string `json:"author"`
	TimeMs   int64  `json:"timeMs"` // Unix time of the author's clock, in milliseconds
}

// Object is a declared object with the metadata of the record that last set it.
type Object[T any] struct {
	Meta
	Spec T `json:"spec"`
}

// table is an immutable map of all objects of one kind by name; specs is computed on first use and cached.
type table[T any] struct {
	objects *trie.Map[*Object[T]]
	specs   func() map[string]T
}

func newTable[T any](objects *trie.Map[*Object[T]]) *table[T] {
	collect := func() map[string]T {
		all := make(map[string]T, objects.Len())
		for name, o := range objects.All() {
			all[name] = o.Spec
		}
		return all
	}
	return &table[T]{objects: objects, specs: sync.OnceValue(collect)}
}

func (t *table[T]) has(name string) bool {
	_, ok := t.objects.Get(name)
	return ok
}

func (t *table[T]) meta(name string) (Meta, bool) {
	o, ok := t.objects.Get(name)
	if !ok {
		return Meta{Revision: config.Absent}, false
	}
	return o.Meta, true
}

func (t *table[T]) spec(name string) (any, bool) {
	o, ok := t.objects.Get(name)
	if !ok {
		return nil, false
	}
	return o.Spec, true
}

// with returns a copy with specs added or replaced by one record.
func (t *table[T]) with(m Meta, objectKind config.Kind, specs []T, name func(T) string) *table[T] {
	if len(specs) == 0 {
		return t
	}
	objects := t.objects
	for _, s := range specs {
		o := &Object[T]{Meta: m, Spec: s}
		objects = objects.With(name(s), o, hashObject(objectKind, name(s), o))
	}
	return newTable(objects)
}

func (t *table[T]) without(name string) *table[T] { return newTable(t.objects.Without(name)) }

func (t *table[T]) list() []Object[T] {
	out := make([]Object[T], 0, t.objects.Len())
	for _, o := range t.objects.All() {
		out = append(out, *o)
	}
	return out
}

func (t *table[T]) refs(objectKind config.Kind) []config.Ref {
	refs := make([]config.Ref, 0, t.objects.Len())
	for name := range t.objects.All() {
		refs = append(refs, config.Ref{Kind: objectKind, Name: name})
	}
	slices.SortFunc(refs, config.Ref.Compare)
	return refs
}

// restoreTable returns a table of the objects in a list.
func restoreTable[T any](objectKind config.Kind, list []Object[T], name func(T) string) *table[T] {
	objects := &trie.Map[*Object[T]]{}
	for _, o := range list {
		objects = objects.With(name(o.Spec), &o, hashObject(objectKind, name(o.Spec), &o))
	}
	return newTable(objects)
}

// hashObject returns the hash of an object with its kind, name and metadata.
func hashObject(objectKind config.Kind, name string, object any) trie.Hash {
	// Marshal cannot fail: specs hold only strings, numbers that came from JSON, and lists and maps of these.
	data, _ := json.Marshal(object)
	h := sha256.New()
	h.Write([]byte(objectKind))
	h.Write([]byte{0})
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write(data)
	return trie.Hash(h.Sum(nil))
}

// withEntry returns a copy of m with k set to v.
func withEntry[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	c := maps.Clone(m)
	if c == nil {
		c = map[K]V{}
	}
	c[k] = v
	return c
}

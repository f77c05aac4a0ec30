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

// Meta says which record set an object.
type Meta struct {
	Revision int64  `json:"revision"` // offset of the record
	Author   string `json:"author"`
	TimeMs   int64  `json:"timeMs"` // Unix time of the author's clock, in milliseconds
}

// Object is a declared object with the record that set it.
type Object[T any] struct {
	Meta
	Spec T `json:"spec"`
}

// kind is the immutable map of all objects of one kind.
type kind[T any] struct {
	objects *trie.Map[*Object[T]]
	specs   func() map[string]T
}

func newKind[T any](objects *trie.Map[*Object[T]]) *kind[T] {
	collect := func() map[string]T {
		all := make(map[string]T, objects.Len())
		for name, o := range objects.All() {
			all[name] = o.Spec
		}
		return all
	}
	return &kind[T]{objects: objects, specs: sync.OnceValue(collect)}
}

func (k *kind[T]) has(name string) bool {
	_, ok := k.objects.Get(name)
	return ok
}

func (k *kind[T]) meta(name string) (Meta, bool) {
	o, ok := k.objects.Get(name)
	if !ok {
		return Meta{Revision: config.Absent}, false
	}
	return o.Meta, true
}

func (k *kind[T]) spec(name string) (any, bool) {
	o, ok := k.objects.Get(name)
	if !ok {
		return nil, false
	}
	return o.Spec, true
}

// with returns the kind with all specs set by one record.
func (k *kind[T]) with(m Meta, of config.Kind, specs []T, name func(T) string) *kind[T] {
	if len(specs) == 0 {
		return k
	}
	objects := k.objects
	for _, s := range specs {
		o := &Object[T]{Meta: m, Spec: s}
		objects = objects.With(name(s), o, leaf(of, name(s), o))
	}
	return newKind(objects)
}

func (k *kind[T]) without(name string) *kind[T] { return newKind(k.objects.Without(name)) }

func (k *kind[T]) list() []Object[T] {
	out := make([]Object[T], 0, k.objects.Len())
	for _, o := range k.objects.All() {
		out = append(out, *o)
	}
	return out
}

func (k *kind[T]) refs(of config.Kind) []config.Ref {
	refs := make([]config.Ref, 0, k.objects.Len())
	for name := range k.objects.All() {
		refs = append(refs, config.Ref{Kind: of, Name: name})
	}
	slices.SortFunc(refs, config.Ref.Compare)
	return refs
}

func restore[T any](of config.Kind, list []Object[T], name func(T) string) *kind[T] {
	objects := &trie.Map[*Object[T]]{}
	for _, o := range list {
		objects = objects.With(name(o.Spec), &o, leaf(of, name(o.Spec), &o))
	}
	return newKind(objects)
}

func leaf(of config.Kind, name string, object any) trie.Leaf {
	// Cannot fail: specs hold only texts, numbers that came from JSON, and lists and maps of these.
	data, _ := json.Marshal(object)
	h := sha256.New()
	h.Write([]byte(of))
	h.Write([]byte{0})
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write(data)
	return trie.Leaf(h.Sum(nil))
}

func replaced[K comparable, V any](m map[K]V, k K, v V) map[K]V {
	c := maps.Clone(m)
	if c == nil {
		c = map[K]V{}
	}
	c[k] = v
	return c
}

package trie

import (
	"crypto/sha256"
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The two levels of the trie, each by five bits of the name's hash.
const (
	levelBits = 5
	fanOut    = 1 << levelBits
	levelMask = fanOut - 1
)

// Hash is the SHA-256 of one name with its value.
type Hash [sha256.Size]byte

// Map is an immutable map with a digest over its leaves; the zero value is empty.
type Map[V any] struct {
	nodes [fanOut]*node[V]
	size  int
}

type node[V any] struct {
	buckets [fanOut][]entry[V] // ordered by name
	digest  Hash
}

type entry[V any] struct {
	name  string
	value V
	leaf  Hash
}

func place(name string) (first, second uint64) {
	h := xxhash.Sum64String(name)
	return h & levelMask, h >> levelBits & levelMask
}

func find[V any](bucket []entry[V], name string) (int, bool) {
	return slices.BinarySearchFunc(bucket, name, func(e entry[V], n string) int {
		return strings.Compare(e.name, n)
	})
}

// Len is the number of names.
func (m *Map[V]) Len() int { return m.size }

// Get returns the value of a name.
func (m *Map[V]) Get(name string) (V, bool) {
	var none V
	first, second := place(name)
	n := m.nodes[first]
	if n == nil {
		return none, false
	}
	i, ok := find(n.buckets[second], name)
	if !ok {
		return none, false
	}
	return n.buckets[second][i].value, true
}

// With returns a copy with a name added or replaced.
func (m *Map[V]) With(name string, v V, leaf Hash) *Map[V] {
	first, second := place(name)
	c := *m
	n := c.nodes[first].clone()
	i, ok := find(n.buckets[second], name)
	e := entry[V]{name: name, value: v, leaf: leaf}
	bucket := slices.Clone(n.buckets[second])
	if ok {
		bucket[i] = e
	} else {
		bucket = slices.Insert(bucket, i, e)
		c.size++
	}
	n.buckets[second] = bucket
	n.sum()
	c.nodes[first] = n
	return &c
}

// Without returns a copy with a name removed.
func (m *Map[V]) Without(name string) *Map[V] {
	if _, ok := m.Get(name); !ok {
		return m
	}
	first, second := place(name)
	c := *m
	n := c.nodes[first].clone()
	i, _ := find(n.buckets[second], name)
	n.buckets[second] = slices.Delete(slices.Clone(n.buckets[second]), i, i+1)
	c.size--
	c.nodes[first] = n
	if !n.sum() {
		c.nodes[first] = nil
	}
	return &c
}

// All yields names and values in an order that depends only on the names.
func (m *Map[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, n := range m.nodes {
			if n == nil {
				continue
			}
			for _, bucket := range n.buckets {
				for _, e := range bucket {
					if !yield(e.name, e.value) {
						return
					}
				}
			}
		}
	}
}

// Digest is a SHA-256 over all leaves; it does not depend on the order in which they came.
func (m *Map[V]) Digest() Hash {
	h := sha256.New()
	for _, n := range m.nodes {
		if n == nil {
			h.Write(make([]byte, sha256.Size))
			continue
		}
		h.Write(n.digest[:])
	}
	return Hash(h.Sum(nil))
}

func (n *node[V]) clone() *node[V] {
	if n == nil {
		return &node[V]{}
	}
	c := *n
	return &c
}

// sum renews the digest and returns false if the node is empty.
func (n *node[V]) sum() bool {
	h := sha256.New()
	used := false
	for _, bucket := range n.buckets {
		for _, e := range bucket {
			h.Write(e.leaf[:])
			used = true
		}
	}
	n.digest = Hash(h.Sum(nil))
	return used
}

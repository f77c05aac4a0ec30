package trie

import (
	"crypto/sha256"
	"iter"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The trie has two levels, each indexed by five bits of the name's hash.
const (
	levelBits = 5
	fanOut    = 1 << levelBits
	levelMask = fanOut - 1
)

// Hash is a SHA-256, of a name with its value or of all entries of a map.
type Hash [sha256.Size]byte

// Map is an immutable map with a digest over the hashes of its entries; the zero value is empty.
type Map[V any] struct {
	nodes [fanOut]*node[V]
	size  int
}

// node is a node of the first level with its buckets, which form the second level.
type node[V any] struct {
	buckets [fanOut][]entry[V] // ordered by name
	digest  Hash               // over the hashes of the entries
}

type entry[V any] struct {
	name  string
	value V
	hash  Hash // of name and value
}

// slots returns the indexes of a name's node and of its bucket there.
func slots(name string) (first, second uint64) {
	h := xxhash.Sum64String(name)
	return h & levelMask, h >> levelBits & levelMask
}

// search returns the position of a name in a bucket, and whether the bucket contains it.
func search[V any](bucket []entry[V], name string) (int, bool) {
	return slices.BinarySearchFunc(bucket, name, func(e entry[V], n string) int {
		return strings.Compare(e.name, n)
	})
}

// Len returns the number of names.
func (m *Map[V]) Len() int { return m.size }

// Get returns the value of a name.
func (m *Map[V]) Get(name string) (V, bool) {
	var none V
	first, second := slots(name)
	n := m.nodes[first]
	if n == nil {
		return none, false
	}
	i, ok := search(n.buckets[second], name)
	if !ok {
		return none, false
	}
	return n.buckets[second][i].value, true
}

// With returns a copy with a name added or replaced; hash is that of the name with its value.
func (m *Map[V]) With(name string, v V, hash Hash) *Map[V] {
	first, second := slots(name)
	c := *m
	n := c.nodes[first].clone()
	i, ok := search(n.buckets[second], name)
	e := entry[V]{name: name, value: v, hash: hash}
	bucket := slices.Clone(n.buckets[second])
	if ok {
		bucket[i] = e
	} else {
		bucket = slices.Insert(bucket, i, e)
		c.size++
	}
	n.buckets[second] = bucket
	n.updateDigest()
	c.nodes[first] = n
	return &c
}

// Without returns a copy with a name removed.
func (m *Map[V]) Without(name string) *Map[V] {
	if _, ok := m.Get(name); !ok {
		return m
	}
	first, second := slots(name)
	c := *m
	n := c.nodes[first].clone()
	i, _ := search(n.buckets[second], name)
	n.buckets[second] = slices.Delete(slices.Clone(n.buckets[second]), i, i+1)
	c.size--
	c.nodes[first] = n
	if !n.updateDigest() {
		c.nodes[first] = nil
	}
	return &c
}

// All iterates over names and values in an order that depends only on the names.
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

// Digest returns a SHA-256 over the hashes of all entries; it does not depend on the order of insertion.
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

// updateDigest recomputes the digest and reports whether the node has entries.
func (n *node[V]) updateDigest() bool {
	h := sha256.New()
	used := false
	for _, bucket := range n.buckets {
		for _, e := range bucket {
			h.Write(e.hash[:])
			used = true
		}
	}
	n.digest = Hash(h.Sum(nil))
	return used
}

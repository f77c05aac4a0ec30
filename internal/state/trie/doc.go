// Package trie provides a persistent (immutable) map by name, whose copies share unchanged nodes.
package trie

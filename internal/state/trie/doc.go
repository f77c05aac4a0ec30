// Package trie is an immutable map by name that shares what did not change with its copies.
package trie

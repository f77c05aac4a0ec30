// Package cell holds an immutable value that readers load and writers replace.
package cell

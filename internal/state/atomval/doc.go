// Package atomval holds an immutable value that readers load and writers replace atomically.
package atomval

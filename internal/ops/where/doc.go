// Package where holds the answer of an entry to the question where a request would go now, and formats it for operators.
package where

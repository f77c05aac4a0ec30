// Package strict decodes YAML, refuses unknown and repeated fields, and survives bad input.
package strict

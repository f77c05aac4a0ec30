// Package strict decodes YAML strictly: unknown and duplicate fields are errors, and so are panics of the YAML library.
package strict

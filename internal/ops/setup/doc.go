// Package setup loads the settings of one process from a YAML file and validates them.
package setup

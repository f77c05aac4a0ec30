// Package config defines the set of all declarations in force and validates it as a whole.
package config

// Package config is the set of all declarations in force, and their checks as a whole.
package config

// Package decl loads declarations from YAML files and compares them with the configuration in force.
package decl

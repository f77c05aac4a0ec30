// Package setup loads the settings of one process from YAML and checks them strictly.
package setup

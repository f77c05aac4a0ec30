// Package index prepares a configuration for the lookups that each request makes.
package index

// Package team declares a caller.
package team

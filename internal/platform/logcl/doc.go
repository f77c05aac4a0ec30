// Package logcl is the HTTP client of the platform's log service.
package logcl

// Package loghttp is the HTTP client of the platform's log service.
package loghttp

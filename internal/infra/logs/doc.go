// Package logs defines the interface to the platform's log service.
package logs

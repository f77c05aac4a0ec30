// Package logs is the platform's log service as the system sees it.
package logs

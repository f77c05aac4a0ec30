// Package pause provides waits that end early with a context, and exponential backoff.
package pause

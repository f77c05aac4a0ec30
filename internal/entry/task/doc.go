// Package task is one admitted request with everything it runs under.
package task

// Package job is one admitted request with everything it runs under.
package job

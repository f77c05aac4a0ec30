// Package logger builds the process's one structured log and routes the libraries' logs into it.
package logger

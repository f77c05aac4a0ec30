// Package logger provides the structured logger of a process and routes the logs of libraries to it.
package logger

// Package trace reconstructs what happened to one request from the logs of several entries.
package trace

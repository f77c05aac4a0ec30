// Package query asks sides what the log records of an action.
package query

// Package publish publishes configuration changes through the log and determines their outcome.
package publish

// Package publish publishes changes of the configuration and says what became of them.
package publish

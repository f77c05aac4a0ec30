// Package task defines an admitted request together with the configuration that applies to it.
package task

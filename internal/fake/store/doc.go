// Package store is a stand-in for the platform's weight store.
package store

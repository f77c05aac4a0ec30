// Package plain is a stand-in for a plain service whose calls must not be repeated.
package plain

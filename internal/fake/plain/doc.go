// Package plain is a stand-in for a plain service whose calls may not be repeated.
package plain

// Package upstr is an upstream as its side process sees it.
package upstr

// Package call holds what a request and an answer say of themselves, in the project's own terms.
package call

// Package registry keeps the list of the live entries of a deployment, from records that each of them writes to the
// platform's store.
package registry

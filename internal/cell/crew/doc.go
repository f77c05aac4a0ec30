// Package crew knows the entries of a deployment, from records that each of them writes to the platform's store.
package crew

// Package front answers the callers of a deployment on the operators' platform.
package front

// Package stage declares one step of a pipeline.
package stage

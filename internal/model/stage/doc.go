// Package stage defines the declaration of one step of a pipeline.
package stage

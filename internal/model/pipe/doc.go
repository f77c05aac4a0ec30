// Package pipe defines the declaration of a pipeline of stages with one deadline.
package pipe

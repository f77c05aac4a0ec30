// Package pipe declares a pipeline of stages under one deadline.
package pipe

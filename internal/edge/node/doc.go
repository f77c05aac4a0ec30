// Package node builds and runs one entry of a deployment on the operators' platform.
package node

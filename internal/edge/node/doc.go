// Package node builds an entry that serves a deployment on the operators' platform, and runs it.
package node

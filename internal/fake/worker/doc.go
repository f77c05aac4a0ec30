// Package worker is an upstream in memory that keeps its own record of what it ran.
package worker

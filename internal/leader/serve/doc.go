// Package serve lets other entries use this process's decider.
package serve

// Package serve lets other entries use this process's desk.
package serve

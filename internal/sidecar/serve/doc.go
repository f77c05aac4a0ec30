// Package serve is the side process: the only way to its upstream.
package serve

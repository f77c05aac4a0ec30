// Package sketch keeps compact distributions of stage latencies by size class, for estimates and quantiles.
package sketch

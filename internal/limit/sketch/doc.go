// Package sketch keeps compact histograms of stage latencies by size class, for quantile estimates.
package sketch

// Package meter holds the metrics of one process and serves them to Prometheus.
package meter

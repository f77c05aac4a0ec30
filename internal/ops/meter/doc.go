// Package meter records the metrics of one process and serves them to Prometheus.
package meter

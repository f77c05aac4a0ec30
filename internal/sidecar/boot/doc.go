// Package boot starts and stops a side process from its settings.
package boot

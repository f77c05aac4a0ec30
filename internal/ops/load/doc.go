// Package load sends requests to entries at a fixed rate, whatever the answers do, and reports attainment.
package load

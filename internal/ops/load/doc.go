// Package load generates open-loop load: it sends requests to entries at a fixed mean rate, regardless of the answers,
// and reports the attainment.
package load

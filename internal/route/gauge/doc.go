// Package gauge estimates the load of one upstream from its aged reports and the entry's own calls.
package gauge

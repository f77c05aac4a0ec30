// Package timing defines the intervals and timeouts that several processes must agree on.
package timing

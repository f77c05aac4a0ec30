// Package timing groups the intervals and bounds that several processes must agree on.
package timing

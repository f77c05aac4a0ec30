// Package hedge bounds hedged calls, sent while the first call is slow, by the upstream time that they cost.
package hedge

package zones

import "time"

// An evacuation lasts for seconds at least, and callers that all come back at the same time would be a burst.
const (
	minRetryAfter    = 1 * time.Second
	retryAfterSpread = 2 * time.Second
)

// RetryAfter returns when a caller may come back whose request was refused as no zone is left, for a random point in
// [0, 1).
func RetryAfter(point float64) time.Duration {
	return minRetryAfter + time.Duration(point*float64(retryAfterSpread))
}

// Package resend limits the repeated sends to a pool within a sliding window to a fraction of the requests for it.
package resend

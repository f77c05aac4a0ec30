// Package resend limits the repeated sends to a pool to a fraction of its requests within a sliding window.
package resend

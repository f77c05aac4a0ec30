// Package extra bounds the repeated sends to a pool over a sliding window, as a part of the requests for it.
package extra

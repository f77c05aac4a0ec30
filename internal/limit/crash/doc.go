// Package crash finds what the requests have in common that crash upstreams, and blocks such requests: the whole request,
// by a fingerprint that stays the same when it is repeated, or parts of its prompt.
package crash

// Package crash finds and blocks requests that crash every upstream that runs them. It knows a request by a fingerprint
// that stays the same when the request is repeated.
package crash

// Package crash finds requests that break down every upstream that runs them, by what stays the same when they come again.
package crash

// Package demo runs the whole system on loopback beside stand-ins for the
// platform, and counts from outside what became of each request.
package demo

// Package httpd serves the stand-ins over HTTP, with the protocols of docs/PLATFORM.md.
//
// It uses net/http and not go-zero's rest, because a stand-in must be able to crash with all its connections,
// to restart on the same port, and to let open connections go silent.
package httpd

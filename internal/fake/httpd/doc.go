// Package httpd serves the stand-ins over HTTP, with the protocols of docs/PLATFORM.md.
//
// It uses net/http and not go-zero's rest: a stand-in has to die with all its connections,
// to come back on the same port, and to let open connections go silent.
package httpd

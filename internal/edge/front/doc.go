// Package front serves the HTTP requests of callers: it finds their route, sends them to upstreams and relays the
// answers.
package front

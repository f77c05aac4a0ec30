// Package outlen says how long the answers of requests may get.
//
// A request states the maximum of its output tokens, an estimate, both or neither. Where the maximum is missing, those of
// other requests of its route say what to expect, so that a burst of requests without one does not overfill an engine.
package outlen

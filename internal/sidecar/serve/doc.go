// Package serve implements the side's gRPC service. All calls to an upstream pass through its side, which admits them,
// runs each at most once and relays the answers.
package serve

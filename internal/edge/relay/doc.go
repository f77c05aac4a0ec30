// Package relay copies an upstream's answer to the caller.
package relay

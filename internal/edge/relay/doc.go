// Package relay passes the bytes of an upstream's answer on to the caller.
package relay

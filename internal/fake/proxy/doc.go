// Package proxy is a TCP proxy on loopback that plays the faults of a network.
package proxy

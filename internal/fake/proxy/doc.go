// Package proxy is a TCP proxy on loopback that injects network faults.
package proxy

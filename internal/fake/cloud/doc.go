// Package cloud is a stand-in for the operators' platform: its store, and upstreams of the three kinds.
package cloud

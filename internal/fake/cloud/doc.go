// Package cloud is a stand-in for the operators' platform: its metadata store, and upstreams of the three kinds.
package cloud

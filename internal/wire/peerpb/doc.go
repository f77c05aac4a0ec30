// Package peerpb holds the generated code of peer.proto.
package peerpb

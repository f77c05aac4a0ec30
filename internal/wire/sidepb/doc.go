// Package sidepb holds the generated code of side.proto.
package sidepb

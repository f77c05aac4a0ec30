// Package cellpb holds the generated code of cell.proto.
package cellpb

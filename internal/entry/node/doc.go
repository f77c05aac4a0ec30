// Package node puts an entry together: configuration, connections, routing,
// admission and the HTTP interface.
package node

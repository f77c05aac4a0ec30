// Package node assembles an entry: configuration, connections, routing, admission, placement and the HTTP interface.
package node

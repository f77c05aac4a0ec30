// Package ports hands out loopback addresses that no outgoing connection can take, for servers that
// stop and come back on the same port.
package ports

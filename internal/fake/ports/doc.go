// Package ports hands out loopback addresses that no outgoing connection can take, for servers that stop and restart
// on the same port.
package ports

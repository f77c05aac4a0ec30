// Package sock sets options of TCP sockets that the standard library has no field for.
package sock

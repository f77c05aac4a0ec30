// Package intake bounds what clients of an HTTP server may occupy: it wraps the server's listener and reads bodies.
//
// It answers the load of clients that send heads of many lines, bodies that never end, empty lines, or nothing at all, over
// many connections. Bytes are counted as they are read from a connection, before net/http parses them; nothing is copied, and
// no connection has a goroutine or timer of this package. Memory comes from memory.Budget. When there is none, what makes no
// progress gives its memory back first.
package intake

// Package memory bounds the bytes that a process holds for its callers.
//
// It answers the load of clients that occupy memory and give nothing for it: many large bodies, heads of very many lines, many
// connections. Bytes are acquired before they are held and released afterwards. Each kind of holder has a part of its own, so
// that no kind can take what another one needs.
package memory

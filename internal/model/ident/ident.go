package ident

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash"
)

// Attempt identifies one attempt of a stage of a request.
type Attempt struct {
	Request string
	Stage   string
	Number  uint32
}

// String renders the attempt as request/stage/number.
func (a Attempt) String() string {
	return fmt.Sprintf("%s/%s/%d", a.Request, a.Stage, a.Number)
}

// Fingerprint returns the hex SHA-256 of a pipeline's name and a request body.
func Fingerprint(pipeline string, body []byte) string {
	h := sha256.New()
	writeChunk(h, []byte(pipeline))
	writeChunk(h, body)
	return hex.EncodeToString(h.Sum(nil))
}

// BodyDigest returns the hex SHA-256 of a body.
func BodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Digest is a running SHA-256 over chunks, each preceded by its length as eight big-endian bytes.
type Digest struct {
	h     hash.Hash
	count uint64
}

// NewDigest returns a digest over no chunks.
func NewDigest() *Digest { return &Digest{h: sha256.New()} }

// Add appends one chunk.
func (d *Digest) Add(chunk []byte) {
	writeChunk(d.h, chunk)
	d.count++
}

// Count returns the number of chunks added.
func (d *Digest) Count() uint64 { return d.count }

// Sum returns the hex digest of all chunks added so far.
func (d *Digest) Sum() string { return hex.EncodeToString(d.h.Sum(nil)) }

// writeChunk hashes a chunk with its length, so that moving bytes between chunks changes the digest.
func writeChunk(h hash.Hash, chunk []byte) {
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(chunk)))
	h.Write(size[:])
	h.Write(chunk)
}

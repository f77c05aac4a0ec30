package snap

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/ragworthatch/ragworthatch/internal/state/fold"
	"github.com/ragworthatch/ragworthatch/internal/state/record"
)

// maxStateBytes is the maximum size of an encoded state before compression.
const maxStateBytes = 64 << 20

// gzipWriters are reused, as each allocates 800 KB.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// NewBody returns the payload of a snapshot record of s.
func NewBody(s *fold.State) (record.SnapshotBody, error) {
	var packed bytes.Buffer
	z := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(z)
	z.Reset(&packed)
	if err := json.NewEncoder(z).Encode(s.Image()); err != nil {
		return record.SnapshotBody{}, fmt.Errorf("encode the state at offset %d: %w", s.Offset(), err)
	}
	if err := z.Close(); err != nil {
		return record.SnapshotBody{}, fmt.Errorf("compress the state at offset %d: %w", s.Offset(), err)
	}
	return record.SnapshotBody{
		Offset:   s.Offset(),
		Revision: s.Revision(),
		Digest:   s.Digest(),
		State:    packed.Bytes(),
	}, nil
}

// Encode returns the snapshot of s as JSON, for peers.
func Encode(s *fold.State) ([]byte, error) {
	body, err := NewBody(s)
	if err != nil {
		return nil, err
	}
	return json.Marshal(body)
}

// Decode restores the output of Encode; it returns an error if offset, revision or digest do not match the state.
func Decode(data []byte) (*fold.State, error) {
	var body record.SnapshotBody
	if err := record.DecodeStrict(data, &body); err != nil {
		return nil, fmt.Errorf("decode a snapshot: %w", err)
	}
	return Restore(body)
}

// Restore restores the state in a payload; it returns an error if offset, revision or digest do not match the state.
func Restore(body record.SnapshotBody) (*fold.State, error) {
	im, err := decodeState(body.State)
	if err != nil {
		return nil, fmt.Errorf("unpack the snapshot at offset %d: %w", body.Offset, err)
	}
	s, err := fold.FromImage(im)
	if err != nil {
		return nil, err
	}
	if s.Offset() != body.Offset || s.Revision() != body.Revision || s.Digest() != body.Digest {
		return nil, fmt.Errorf("snapshot says offset %d, revision %d, digest %.12s; it holds %d, %d, %.12s",
			body.Offset, body.Revision, body.Digest, s.Offset(), s.Revision(), s.Digest())
	}
	return s, nil
}

// decodeState decompresses and decodes the state in a payload.
func decodeState(packed []byte) (fold.Image, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return fold.Image{}, err
	}
	data, err := io.ReadAll(io.LimitReader(z, maxStateBytes+1))
	if err != nil {
		return fold.Image{}, err
	}
	if len(data) > maxStateBytes {
		return fold.Image{}, fmt.Errorf("state is over %d bytes", maxStateBytes)
	}
	var im fold.Image
	if err := record.DecodeStrict(data, &im); err != nil {
		return fold.Image{}, err
	}
	return im, nil
}

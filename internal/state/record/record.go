package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/ragworthatch/ragworthatch/internal/model/config"
)

// Format is the newest record format that this program reads, and the one that it writes.
const Format = 1

// Maximum lengths of strings in a record, in bytes.
const (
	maxNonceBytes  = 80
	maxAuthorBytes = 128
)

// Kind is the type of a record and of its payload.
type Kind string

// The kinds.
const (
	Change   Kind = "change"   // payload ChangeBody
	Preset   Kind = "preset"   // payload PresetBody
	Void     Kind = "void"     // payload VoidBody
	Snapshot Kind = "snapshot" // payload SnapshotBody
)

// Record is one record of the configuration stream.
type Record struct {
	Format  int                  `json:"format"`
	Kind    Kind                 `json:"kind"`
	Nonce   string               `json:"nonce"`
	Author  string               `json:"author"`
	TimeMs  int64                `json:"timeMs"`         // Unix time of the author's clock, in milliseconds
	Base    map[config.Ref]int64 `json:"base,omitempty"` // revisions that the author saw
	Payload json.RawMessage      `json:"payload"`
}

// ChangeBody sets and removes objects.
type ChangeBody struct {
	Set    config.Objects `json:"set"`
	Remove []config.Ref   `json:"remove,omitempty"`
}

// PresetBody sets the preset in force.
type PresetBody struct {
	Name string `json:"name"`
}

// VoidBody rejects in advance any later record with a nonce; it has no effect if the nonce has already been decided.
type VoidBody struct {
	Nonce string `json:"nonce"`
}

// SnapshotBody holds the state after the record at Offset.
type SnapshotBody struct {
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	State    []byte `json:"state"` // gzip of a JSON fold.Image
}

// checksummed is the encoded form of a record; the checksum must be its last field.
type checksummed struct {
	Record
	Checksum string `json:"checksum"`
}

// New returns a record of the current format with body as its payload.
func New(kind Kind, nonce, author string, timeMs int64, base map[config.Ref]int64, body any) (Record, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return Record{}, fmt.Errorf("encode the payload of a %s record: %w", kind, err)
	}
	return Record{
		Format:  Format,
		Kind:    kind,
		Nonce:   nonce,
		Author:  author,
		TimeMs:  timeMs,
		Base:    base,
		Payload: payload,
	}, nil
}

// Encode returns the record as JSON whose last field is a checksum of all bytes before it.
func Encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode a %s record: %w", r.Kind, err)
	}
	return appendChecksum(data[:len(data)-1]), nil
}

// IsSnapshot reports whether data starts like an encoded snapshot record, without decoding it.
func IsSnapshot(data []byte) bool { return bytes.HasPrefix(data, snapshotPrefix) }

// snapshotPrefix is the start of an encoded snapshot record; it relies on the order of the fields of Record.
var snapshotPrefix = fmt.Appendf(nil, `{"format":%d,"kind":%q,`, Format, Snapshot)

// Decode decodes the output of Encode; every error is an *Error with the reason.
func Decode(data []byte) (Record, error) {
	if err := verifyChecksum(data); err != nil {
		return Record{}, err
	}
	var s checksummed
	err := DecodeStrict(data, &s)
	if format := formatOf(s, data, err); format > Format {
		return Record{}, &Error{Reason: NewerFormat, Cause: fmt.Errorf("format %d is newer than %d", format, Format)}
	}
	if err != nil {
		return Record{}, &Error{Reason: Malformed, Cause: err}
	}
	if err := s.validate(); err != nil {
		return Record{}, &Error{Reason: Malformed, Cause: err}
	}
	return s.Record, nil
}

// formatOf returns the format of a record, even if its other fields cannot be decoded; 0 if it is unknown.
func formatOf(s checksummed, data []byte, err error) int {
	if err == nil {
		return s.Format
	}
	var head struct {
		Format int `json:"format"`
	}
	if json.Unmarshal(data, &head) != nil {
		return 0
	}
	return head.Format
}

// DecodeStrict decodes one JSON value and returns an error for unknown fields and trailing data.
func DecodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("data after the JSON value")
	}
	return nil
}

func (r Record) validate() error {
	if r.Format < 1 {
		return fmt.Errorf("format %d does not exist", r.Format)
	}
	if len(r.Nonce) > maxNonceBytes {
		return fmt.Errorf("nonce is longer than %d bytes", maxNonceBytes)
	}
	if len(r.Author) > maxAuthorBytes {
		return fmt.Errorf("author is longer than %d bytes", maxAuthorBytes)
	}
	_, err := NonceOffset(r.Nonce)
	return err
}

// Encoding of the last field: a comma, its name and 16 hex digits.
const (
	checksumPrefix    = `,"checksum":"`
	checksumSuffix    = `"}`
	checksumFormat    = "%016x"
	checksumDigits    = 16
	checksumFieldSize = len(checksumPrefix) + checksumDigits + len(checksumSuffix)
)

// appendChecksum completes an encoded record that lacks its closing brace.
func appendChecksum(body []byte) []byte {
	return fmt.Appendf(body, checksumPrefix+checksumFormat+checksumSuffix, xxhash.Sum64(body))
}

// verifyChecksum returns an *Error unless data ends with the checksum of all bytes before it.
func verifyChecksum(data []byte) error {
	if len(data) < checksumFieldSize {
		return &Error{Reason: Truncated, Cause: fmt.Errorf("%d bytes are too few", len(data))}
	}
	body := data[:len(data)-checksumFieldSize]
	end := data[len(data)-checksumFieldSize:]
	if !bytes.HasPrefix(end, []byte(checksumPrefix)) || !bytes.HasSuffix(end, []byte(checksumSuffix)) {
		return &Error{Reason: Truncated, Cause: errors.New("no checksum at the end")}
	}
	if string(end[len(checksumPrefix):len(checksumPrefix)+checksumDigits]) !=
		fmt.Sprintf(checksumFormat, xxhash.Sum64(body)) {
		return &Error{Reason: Corrupt, Cause: errors.New("checksum does not match")}
	}
	return nil
}

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

// Format is the newest format that this program reads, and the one it writes.
const Format = 1

// Bounds of the texts in a record, in bytes.
const (
	maxNonce  = 80
	maxAuthor = 128
)

// Kind says what a record asks for.
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
	TimeMs  int64                `json:"timeMs"` // Unix time of the author's clock, in milliseconds
	Base    map[config.Ref]int64 `json:"base,omitempty"`
	Payload json.RawMessage      `json:"payload"`
}

// ChangeBody sets and removes objects.
type ChangeBody struct {
	Set    config.Objects `json:"set"`
	Remove []config.Ref   `json:"remove,omitempty"`
}

// PresetBody chooses the preset in force.
type PresetBody struct {
	Name string `json:"name"`
}

// VoidBody forbids the record with a nonce, if that has not come first.
type VoidBody struct {
	Nonce string `json:"nonce"`
}

// SnapshotBody holds the state that the records up to Offset make.
type SnapshotBody struct {
	Offset   int64  `json:"offset"`
	Revision int64  `json:"revision"`
	Digest   string `json:"digest"`
	State    []byte `json:"state"` // gzip of a JSON fold.Image
}

type sealed struct {
	Record
	Checksum string `json:"checksum"`
}

// New returns a record of the current format around a payload.
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
	return seal(data[:len(data)-1]), nil
}

// IsSnapshot says whether Encode made these bytes from a snapshot, without decoding them.
func IsSnapshot(data []byte) bool { return bytes.HasPrefix(data, snapshotHead) }

// snapshotHead is how the fields of Record start, in their order.
var snapshotHead = fmt.Appendf(nil, `{"format":%d,"kind":%q,`, Format, Snapshot)

// Decode reads what Encode wrote; it returns an *Error that says what is wrong.
func Decode(data []byte) (Record, error) {
	if err := checkSeal(data); err != nil {
		return Record{}, err
	}
	var s sealed
	err := DecodeStrict(data, &s)
	if format := formatOf(s, data, err); format > Format {
		return Record{}, &Error{Reason: NewerFormat, Cause: fmt.Errorf("format %d is newer than %d", format, Format)}
	}
	if err != nil {
		return Record{}, &Error{Reason: Malformed, Cause: err}
	}
	if err := s.check(); err != nil {
		return Record{}, &Error{Reason: Malformed, Cause: err}
	}
	return s.Record, nil
}

// formatOf returns the format of a record, also of one whose other fields cannot be read.
func formatOf(s sealed, data []byte, err error) int {
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

// DecodeStrict decodes one JSON value and refuses unknown fields and trailing data.
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

func (r Record) check() error {
	if r.Format < 1 {
		return fmt.Errorf("format %d does not exist", r.Format)
	}
	if len(r.Nonce) > maxNonce {
		return fmt.Errorf("nonce is longer than %d bytes", maxNonce)
	}
	if len(r.Author) > maxAuthor {
		return fmt.Errorf("author is longer than %d bytes", maxAuthor)
	}
	_, err := NonceOffset(r.Nonce)
	return err
}

// The form of the last field: a comma, the name, and 16 hex digits.
const (
	sealHead  = `,"checksum":"`
	sealTail  = `"}`
	sumFormat = "%016x"
	sumSize   = 16
	sealSize  = len(sealHead) + sumSize + len(sealTail)
)

func seal(body []byte) []byte {
	return fmt.Appendf(body, sealHead+sumFormat+sealTail, xxhash.Sum64(body))
}

func checkSeal(data []byte) error {
	if len(data) < sealSize {
		return &Error{Reason: Truncated, Cause: fmt.Errorf("%d bytes are too few", len(data))}
	}
	body := data[:len(data)-sealSize]
	end := data[len(data)-sealSize:]
	if !bytes.HasPrefix(end, []byte(sealHead)) || !bytes.HasSuffix(end, []byte(sealTail)) {
		return &Error{Reason: Truncated, Cause: errors.New("no checksum at the end")}
	}
	if string(end[len(sealHead):len(sealHead)+sumSize]) != fmt.Sprintf(sumFormat, xxhash.Sum64(body)) {
		return &Error{Reason: Corrupt, Cause: errors.New("checksum does not match")}
	}
	return nil
}

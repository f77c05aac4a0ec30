package strict

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml"
)

// Decoder reads the documents of one file.
type Decoder struct {
	inner *yaml.Decoder
}

// New returns a decoder of data.
func New(data []byte) *Decoder {
	return &Decoder{inner: yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())}
}

// Decode reads the next document; after the last it returns io.EOF. What the
// library panics on, such as a tag without a value, is an error.
func (d *Decoder) Decode(into any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("malformed YAML: %v", p)
		}
	}()
	return d.inner.Decode(into)
}

package strict

import (
	"bytes"
	"fmt"

	"github.com/goccy/go-yaml"
)

// Decoder decodes the documents of one file.
type Decoder struct {
	inner *yaml.Decoder
}

// New returns a decoder of data.
func New(data []byte) *Decoder {
	return &Decoder{inner: yaml.NewDecoder(bytes.NewReader(data), yaml.Strict())}
}

// Decode decodes the next document; after the last it returns io.EOF. A panic of the library, such as on a tag without
// a value, becomes an error.
func (d *Decoder) Decode(into any) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("malformed YAML: %v", p)
		}
	}()
	return d.inner.Decode(into)
}

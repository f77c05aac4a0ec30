package head

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// The range of valid status codes.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error for an answer whose status code is outside the range of HTTP, or with a field name that is no
// token. net/http keeps a name with a blank and ignores it when it frames the body, as in "Content-Length : 5".
func Check(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("invalid status %q", r.Status)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("invalid field name %q", name)
		}
	}
	return nil
}

// CheckLines returns an error for the bytes of a head in which a line begins with a blank. net/http joins such a line with
// the one before it, which a gateway may refuse instead (RFC 9112, 5.2).
func CheckLines(lines []byte) error {
	if bytes.Contains(lines, []byte("\n ")) || bytes.Contains(lines, []byte("\n\t")) {
		return errors.New("a line begins with a blank")
	}
	return nil
}

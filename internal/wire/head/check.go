package head

import (
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

package head

import (
	"fmt"
	"net/http"
)

// The range of valid status codes.
const (
	minStatus = 100
	maxStatus = 599
)

// Check returns an error for an answer whose status code is outside the range of HTTP.
func Check(r *http.Response) error {
	if r.StatusCode < minStatus || r.StatusCode > maxStatus {
		return fmt.Errorf("invalid status %q", r.Status)
	}
	return nil
}

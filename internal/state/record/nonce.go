package record

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"
)

// NewNonce returns the nonce of a record: the offset that its author would read next, and a random ID.
func NewNonce(next int64, id uuid.UUID) string {
	return strconv.FormatInt(next, 10) + "-" + id.String()
}

// NonceOffset returns the offset in a nonce; the record cannot be at a lower offset.
func NonceOffset(nonce string) (int64, error) {
	digits, id, _ := strings.Cut(nonce, "-")
	next, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || next < 0 {
		return 0, fmt.Errorf("nonce %q does not start with an offset", nonce)
	}
	if len(id) != len(uuid.Nil.String()) || uuid.Validate(id) != nil {
		return 0, fmt.Errorf("nonce %q does not end with a UUID", nonce)
	}
	return next, nil
}

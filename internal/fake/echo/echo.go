package echo

import (
	"fmt"
	"regexp"

	"github.com/cespare/xxhash/v2"
)

// Also matches a marker inside a JSON string, where the quotes are escaped.
var markerPattern = regexp.MustCompile(`marker\\*"\s*:\s*\\*"([^"\\]+)`)

// Marker returns the value of the first "marker" field in a body, at any depth,
// and whether there is a second one that differs.
func Marker(body []byte) (marker string, mixed bool) {
	for _, m := range markerPattern.FindAllSubmatch(body, -1) {
		if marker == "" {
			marker = string(m[1])
		}
		mixed = mixed || string(m[1]) != marker
	}
	return marker, mixed
}

// Token returns the token of a generation at an index.
func Token(body []byte, index uint64) string {
	marker, _ := Marker(body)
	h := xxhash.New()
	h.Write(body)
	fmt.Fprintf(h, "#%d", index)
	return fmt.Sprintf("%s.%d.%04x ", marker, index, h.Sum64()&0xffff)
}

// Length returns how many tokens a body gives, at least 1 and at most max.
func Length(body []byte, max uint32) uint64 {
	const shortest, spread = 12, 36
	n := shortest + xxhash.Sum64(body)%spread
	if max > 0 {
		n = min(n, uint64(max))
	}
	return n
}

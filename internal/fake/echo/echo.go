package echo

import (
	"fmt"
	"regexp"

	"github.com/cespare/xxhash/v2"
)

// markerPattern also matches a marker inside a JSON string, where the quotes are escaped.
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

// Token returns the token at an index of the generation for a body.
func Token(body []byte, index uint64) string {
	marker, _ := Marker(body)
	h := xxhash.New()
	h.Write(body)
	fmt.Fprintf(h, "#%d", index)
	return fmt.Sprintf("%s.%d.%04x ", marker, index, h.Sum64()&0xffff)
}

// Length returns the number of tokens of the generation for a body, from 12 to 47 and at most max if max is not 0.
func Length(body []byte, max uint32) uint64 {
	const minTokens, spread = 12, 36
	n := minTokens + xxhash.Sum64(body)%spread
	if max > 0 {
		n = min(n, uint64(max))
	}
	return n
}

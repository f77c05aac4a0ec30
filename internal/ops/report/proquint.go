package report

import (
	"encoding/hex"
	"strings"
)

// proquintBytes is the number of leading digest bytes that are encoded.
const proquintBytes = 4

// The alphabet of proquints (pronounceable quintuplets). A word of consonant, vowel, consonant, vowel and consonant
// encodes 16 bits.
const (
	consonants = "bdfghjklmnprstvz"
	vowels     = "aiou"
)

// DigestProquint encodes the first 32 bits of a hex digest as two proquints, which are easy to read aloud. It returns
// an empty string if the digest is too short or not hex.
func DigestProquint(digest string) string {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) < proquintBytes {
		return ""
	}
	var words []string
	for i := 0; i < proquintBytes; i += 2 {
		words = append(words, encodeProquint(uint16(raw[i])<<8|uint16(raw[i+1])))
	}
	return strings.Join(words, "-")
}

// encodeProquint encodes 16 bits as a five-letter word.
func encodeProquint(n uint16) string {
	return string([]byte{
		consonants[n>>12],
		vowels[n>>10&3],
		consonants[n>>6&15],
		vowels[n>>4&3],
		consonants[n&15],
	})
}

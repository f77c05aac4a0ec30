package report

import (
	"encoding/hex"
	"strings"
)

// spokenBytes of a digest are read aloud: 32 bits.
const spokenBytes = 4

// The letters of pronounceable quintuplets: consonant, vowel, consonant, vowel, consonant carry 16 bits.
const (
	consonants = "bdfghjklmnprstvz"
	vowels     = "aiou"
)

// Speak returns the start of a hex digest as two words that can be read aloud (proquints); empty if it is too short.
func Speak(digest string) string {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) < spokenBytes {
		return ""
	}
	var words []string
	for i := 0; i < spokenBytes; i += 2 {
		words = append(words, quint(uint16(raw[i])<<8|uint16(raw[i+1])))
	}
	return strings.Join(words, "-")
}

func quint(n uint16) string {
	return string([]byte{
		consonants[n>>12],
		vowels[n>>10&3],
		consonants[n>>6&15],
		vowels[n>>4&3],
		consonants[n&15],
	})
}

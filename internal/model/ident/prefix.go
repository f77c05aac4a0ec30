package ident

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the length of the blocks that prompts are cached in.
	PrefixBlockBytes = 256
	// MaxPrefixBlocks bounds a chain; a longer prompt is known by its beginning.
	MaxPrefixBlocks = 32
)

// PrefixChain returns a digest for each whole block of a prompt, each over all bytes up to its end.
func PrefixChain(model string, prompt []byte) []string {
	h := xxhash.New()
	_, _ = h.WriteString(model)
	var chain []string
	for len(prompt) >= PrefixBlockBytes && len(chain) < MaxPrefixBlocks {
		_, _ = h.Write(prompt[:PrefixBlockBytes])
		prompt = prompt[PrefixBlockBytes:]
		chain = append(chain, hex.EncodeToString(binary.BigEndian.AppendUint64(nil, h.Sum64())))
	}
	return chain
}

package ident

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefixBlockBytes is the length of the blocks in which cached prompts are compared.
	PrefixBlockBytes = 256
	// MaxPrefixBlocks is the maximum length of a chain; of a longer prompt only the beginning is hashed.
	MaxPrefixBlocks = 32
)

// PrefixChain returns a digest for each full block of a prompt, computed over the model and all bytes up to the end of
// the block.
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

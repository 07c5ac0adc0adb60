// Package prompt derives what routing needs to know from the text of a prompt:
// the hashes of its prefixes, its fingerprint and its cost.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of text that one prefix hash covers.
	BlockBytes = 256
	// MaxBlocks bounds the prefixes of one prompt.
	MaxBlocks = 64
	// bytesPerToken is a usual ratio for text in European languages.
	bytesPerToken = 4
)

// Prefixes returns the hash of each prefix of whole blocks, shortest first.
func Prefixes(model string, text []byte) []uint64 {
	blocks := min(len(text)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, blocks)
	chain := xxhash.Sum64String(model)
	var link [8]byte
	digest := xxhash.New()
	for i := range blocks {
		digest.Reset()
		binary.LittleEndian.PutUint64(link[:], chain)
		// Writes to a digest never fail.
		_, _ = digest.Write(link[:])
		_, _ = digest.Write(text[i*BlockBytes : (i+1)*BlockBytes])
		chain = digest.Sum64()
		hashes = append(hashes, chain)
	}
	return hashes
}

// Fingerprint identifies a request by its content, equal for every resend.
func Fingerprint(member, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(member)
	_, _ = digest.WriteString("\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// Cost estimates the tokens of a request: those of the prompt and those that
// may be generated.
func Cost(promptBytes, maxOutput int) uint32 {
	return uint32(promptBytes/bytesPerToken + max(maxOutput, 1))
}

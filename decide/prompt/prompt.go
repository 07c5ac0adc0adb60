// Package prompt computes the inputs of routing from a prompt: the hashes of its
// prefixes, its fingerprint and its estimated cost.
package prompt

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the block size: each prefix hash covers one more block.
	BlockBytes = 256
	// MaxBlocks is the maximum number of prefix hashes of one prompt.
	MaxBlocks = 64
	// bytesPerToken is the usual ratio for text in European languages.
	bytesPerToken = 4
)

// PrefixHashes returns the hash of each prefix that consists of complete blocks,
// shortest first, up to MaxBlocks. The model is part of each hash.
func PrefixHashes(model string, text []byte) []uint64 {
	blocks := min(len(text)/BlockBytes, MaxBlocks)
	hashes := make([]uint64, 0, blocks)
	hash := xxhash.Sum64String(model)
	var previous [8]byte
	digest := xxhash.New()
	for i := range blocks {
		digest.Reset()
		binary.LittleEndian.PutUint64(previous[:], hash)
		// Writes to a digest never fail.
		_, _ = digest.Write(previous[:])
		_, _ = digest.Write(text[i*BlockBytes : (i+1)*BlockBytes])
		hash = digest.Sum64()
		hashes = append(hashes, hash)
	}
	return hashes
}

// Fingerprint returns a hash of the request content. It is equal for all resends
// of a request.
func Fingerprint(member, path string, body []byte) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(member)
	_, _ = digest.WriteString("\x00" + path + "\x00")
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// EstimateTokens estimates the number of tokens of a request: the tokens of the prompt plus
// the maximum number of generated tokens.
func EstimateTokens(promptBytes, maxOutput int) uint32 {
	return uint32(promptBytes/bytesPerToken + max(maxOutput, 1))
}

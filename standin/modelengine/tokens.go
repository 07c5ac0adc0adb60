package modelengine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

var vocabulary = [...]string{
	"meter", "valve", "pressure", "report", "visit", "line", "check", "value",
	"order", "class", "plan", "note", "step", "room", "date", "result",
}

// GenerateTokens returns the tokens that the engine generates for a prompt. Each token
// ends in a space, so the text of the completion is their concatenation.
func GenerateTokens(model, prompt string, tokens int) []string {
	state := xxhash.Sum64String(model + "\x00" + prompt)
	words := make([]string, tokens)
	for i := range words {
		state = mix(state, uint64(i))
		words[i] = vocabulary[state%uint64(len(vocabulary))] + " "
	}
	return words
}

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:8], a)
	binary.BigEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// BlockBytes is the size of a block in the prefix cache.
const BlockBytes = 256

// BlockHashes returns the hashes of the full blocks of a prompt, which is the raw
// JSON of "prompt" or "messages" in the request. Each hash also covers the model
// and all preceding blocks, so equal hashes mean equal prefixes. Routers compute
// the same hashes.
func BlockHashes(model string, prompt []byte) []uint64 {
	hash := xxhash.Sum64String(model)
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	for i := 0; i+BlockBytes <= len(prompt); i += BlockBytes {
		input := binary.LittleEndian.AppendUint64(make([]byte, 0, hashBytes+BlockBytes), hash)
		hash = xxhash.Sum64(append(input, prompt[i:i+BlockBytes]...))
		hashes = append(hashes, hash)
	}
	return hashes
}

// hashBytes is the size of a block hash.
const hashBytes = 8

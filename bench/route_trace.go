package bench

import (
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/decide/hash"
)

// Shape of the prompts: questions about shared documents of Zipf-distributed
// popularity, and conversations that grow with each turn. Prompt lengths are in
// cache blocks, output lengths in tokens.
const (
	traceDocuments         = 400
	traceZipfExponent      = 1.2
	traceMinBlocks         = 12
	traceBlockRange        = 36
	traceQuestionBlocks    = 2
	traceConversations     = 120
	traceTurnBlocks        = 5
	traceMaxTurns          = 8
	traceConversationShare = 0.4
	traceMinOutput         = 40
	traceOutputRange       = 160
	// traceFlashAt is the time at which a new document becomes popular in scenarios
	// with a hot document.
	traceFlashAt = 60 * time.Second
)

// prompt is one request of a trace: the hashes of its prompt blocks and the number
// of output tokens.
type prompt struct {
	blocks []uint64
	output int
}

func (p prompt) tokens() int { return len(p.blocks) * enginemodel.BlockTokens }

// promptTrace generates prompts and their arrival times from a seed.
type promptTrace struct {
	rng           *rand.Rand
	documents     *rand.Zipf
	conversations [][]uint64
	uniqueBlocks  uint64
	// hotShare is the share of questions about one new document after traceFlashAt.
	hotShare float64
}

func newPromptTrace(seed uint64, hotShare float64) *promptTrace {
	rng := rand.New(rand.NewPCG(seed, 1))
	return &promptTrace{
		rng:           rng,
		documents:     rand.NewZipf(rng, traceZipfExponent, 8, traceDocuments-1),
		conversations: make([][]uint64, traceConversations),
		hotShare:      hotShare,
	}
}

// interarrival draws the time to the next arrival at a rate per second.
func (t *promptTrace) interarrival(rate float64) time.Duration {
	return time.Duration(t.rng.ExpFloat64() / rate * float64(time.Second))
}

func (t *promptTrace) next(now time.Duration) prompt {
	output := traceMinOutput + t.rng.IntN(traceOutputRange)
	if t.rng.Float64() < traceConversationShare {
		return prompt{blocks: t.nextTurn(), output: output}
	}
	document := t.documents.Uint64()
	if t.rng.Float64() < t.hotShare && now >= traceFlashAt {
		document = traceDocuments
	}
	length := traceMinBlocks + int(hash.Mix(document, 1)%traceBlockRange)
	blocks := make([]uint64, 0, length+traceQuestionBlocks)
	for i := range length {
		blocks = append(blocks, hash.Mix(document+1, uint64(i)))
	}
	return prompt{blocks: t.extend(blocks, traceQuestionBlocks), output: output}
}

// nextTurn extends a random conversation. One with traceMaxTurns turns is replaced
// by a new one.
func (t *promptTrace) nextTurn() []uint64 {
	i := t.rng.IntN(len(t.conversations))
	if len(t.conversations[i]) >= traceMaxTurns*traceTurnBlocks {
		t.conversations[i] = nil
	}
	t.conversations[i] = t.extend(t.conversations[i], traceTurnBlocks)
	return t.conversations[i]
}

// extend returns a copy of blocks with n unique blocks appended.
func (t *promptTrace) extend(blocks []uint64, n int) []uint64 {
	extended := append(make([]uint64, 0, len(blocks)+n), blocks...)
	for range n {
		t.uniqueBlocks++
		extended = append(extended, hash.Mix(1<<40, t.uniqueBlocks))
	}
	return extended
}

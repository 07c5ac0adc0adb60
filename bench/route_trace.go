package bench

import (
	"math/rand/v2"
	"time"

	"github.com/mulberryfork/mulberryfork/bench/enginemodel"
	"github.com/mulberryfork/mulberryfork/decide/hash"
)

// Shape of the prompts: questions on shared documents, one of them very
// popular, and conversations that grow turn by turn.
const (
	traceDocuments     = 400
	traceZipf          = 1.2
	traceLeastBlocks   = 12
	traceBlockSpread   = 36
	traceQuestion      = 2
	traceConversations = 120
	traceTurnBlocks    = 5
	traceTurns         = 8
	traceTalkPart      = 0.4
	traceLeastOutput   = 40
	traceOutputSpread  = 160
	// traceFlash is when a new document becomes popular, if one does.
	traceFlash = 60 * time.Second
)

// prompt is one request of a trace.
type prompt struct {
	blocks []uint64
	output int
}

func (p prompt) tokens() int { return len(p.blocks) * enginemodel.BlockTokens }

// promptTrace draws prompts and their arrival times from a seed.
type promptTrace struct {
	rng       *rand.Rand
	documents *rand.Zipf
	talks     [][]uint64
	unique    uint64
	// hot is the part of questions on one new document after traceFlash.
	hot float64
}

func newPromptTrace(seed uint64, hot float64) *promptTrace {
	rng := rand.New(rand.NewPCG(seed, 1))
	return &promptTrace{
		rng:       rng,
		documents: rand.NewZipf(rng, traceZipf, 8, traceDocuments-1),
		talks:     make([][]uint64, traceConversations),
		hot:       hot,
	}
}

// gap draws the time to the next arrival at a rate a second.
func (t *promptTrace) gap(rate float64) time.Duration {
	return time.Duration(t.rng.ExpFloat64() / rate * float64(time.Second))
}

func (t *promptTrace) next(now time.Duration) prompt {
	output := traceLeastOutput + t.rng.IntN(traceOutputSpread)
	if t.rng.Float64() < traceTalkPart {
		return prompt{blocks: t.turn(), output: output}
	}
	document := t.documents.Uint64()
	if t.rng.Float64() < t.hot && now >= traceFlash {
		document = traceDocuments
	}
	length := traceLeastBlocks + int(hash.Mix(document, 1)%traceBlockSpread)
	blocks := make([]uint64, 0, length+traceQuestion)
	for i := range length {
		blocks = append(blocks, hash.Mix(document+1, uint64(i)))
	}
	return prompt{blocks: t.extend(blocks, traceQuestion), output: output}
}

// turn continues a conversation, or starts another in its place.
func (t *promptTrace) turn() []uint64 {
	i := t.rng.IntN(len(t.talks))
	if len(t.talks[i]) >= traceTurns*traceTurnBlocks {
		t.talks[i] = nil
	}
	t.talks[i] = t.extend(t.talks[i], traceTurnBlocks)
	return t.talks[i]
}

// extend returns a copy with new blocks that no other prompt has.
func (t *promptTrace) extend(blocks []uint64, n int) []uint64 {
	longer := append(make([]uint64, 0, len(blocks)+n), blocks...)
	for range n {
		t.unique++
		longer = append(longer, hash.Mix(1<<40, t.unique))
	}
	return longer
}

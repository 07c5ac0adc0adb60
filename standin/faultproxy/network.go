// Package faultproxy implements a TCP proxy that injects network faults between
// named endpoints. README.md describes the faults.
package faultproxy

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// Any matches every endpoint in a rule.
const Any = "*"

// Fault describes the faults injected into the bytes of one direction.
type Fault struct {
	// Each chunk is delayed by Delay plus a random duration below Jitter.
	Delay, Jitter time.Duration
	// Cut holds back all bytes until the fault is cleared, as happens on TCP while
	// all segments are lost.
	Cut bool
	// BytesPerSecond limits the throughput; 0 means no limit.
	BytesPerSecond int
	// LossRate is the probability that a chunk is lost permanently. The stream
	// is then reset, since TCP can't skip bytes.
	LossRate float64
	// StallBeforeReset is the time between a loss and the reset.
	StallBeforeReset time.Duration
	// ResetAfterBytes is the number of bytes after which a connection is reset,
	// counted since the fault was set; 0 means never.
	ResetAfterBytes int
	// DuplicateDials is the number of additional connections dialled to the target
	// for each proxied one; they carry no bytes.
	DuplicateDials int
}

type direction struct{ from, to string }

// Counts holds totals over all proxies of a network. Refused counts connections
// that were closed before the target was reached.
type Counts struct {
	Connections, Refused, Resets, Losses, DuplicateDials int
}

// Network holds the faults between endpoints and is shared by all its proxies.
type Network struct {
	seed uint64

	mu                 sync.Mutex
	rules              map[direction]*Fault
	connections        map[*connection]struct{}
	counts             Counts
	randomSourceCounts map[direction]uint64
	// changed is closed when the rules change.
	changed chan struct{}
}

// NewNetwork returns a network without faults. The seed determines which chunks are
// lost and the jitter of delays.
func NewNetwork(seed uint64) *Network {
	return &Network{
		seed:               seed,
		rules:              make(map[direction]*Fault),
		connections:        make(map[*connection]struct{}),
		randomSourceCounts: make(map[direction]uint64),
		changed:            make(chan struct{}),
	}
}

// Set applies a fault to the bytes from one endpoint to another. Either may be
// Any; the more specific rule wins.
func (n *Network) Set(from, to string, f Fault) {
	n.update(func() { n.rules[direction{from, to}] = &f })
}

// Clear removes the fault that Set applied to a direction.
func (n *Network) Clear(from, to string) {
	n.update(func() { delete(n.rules, direction{from, to}) })
}

// Partition cuts both directions between each endpoint in a and each in b.
func (n *Network) Partition(a, b []string) { n.setPairs(a, b, &Fault{Cut: true}) }

// Heal removes all faults between the endpoints in a and those in b, in both
// directions, also those that Set applied.
func (n *Network) Heal(a, b []string) { n.setPairs(a, b, nil) }

func (n *Network) setPairs(a, b []string, f *Fault) {
	n.update(func() {
		for _, x := range a {
			for _, y := range b {
				for _, d := range []direction{{x, y}, {y, x}} {
					if f == nil {
						delete(n.rules, d)
						continue
					}
					n.rules[d] = f
				}
			}
		}
	})
}

func (n *Network) update(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reset resets every connection that one endpoint has opened to another and
// returns the number of connections reset.
func (n *Network) Reset(from, to string) int {
	n.mu.Lock()
	var matching []*connection
	for c := range n.connections {
		if matches(from, c.from) && matches(to, c.to) {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		c.reset()
	}
	return len(matching)
}

func matches(pattern, name string) bool { return pattern == Any || pattern == name }

// Counts returns the totals so far.
func (n *Network) Counts() Counts {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts
}

func (n *Network) count(add func(*Counts)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	add(&n.counts)
}

// activeFault returns the fault of a direction, which must not be modified, and
// a channel that is closed when the rules change.
func (n *Network) activeFault(from, to string) (*Fault, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, d := range []direction{{from, to}, {from, Any}, {Any, to}, {Any, Any}} {
		if f, ok := n.rules[d]; ok {
			return f, n.changed
		}
	}
	return &noFault, n.changed
}

var noFault Fault

// newRandom returns the random source for one direction of a new connection. Each
// connection has its own, so that its random choices don't depend on the timing of
// other connections.
func (n *Network) newRandom(from, to string) *rand.Rand {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{from, to}
	n.randomSourceCounts[d]++
	h := fnv.New64a()
	_, _ = h.Write([]byte(from + "\x00" + to))
	return rand.New(rand.NewPCG(n.seed, h.Sum64()+n.randomSourceCounts[d]))
}

// Package faultproxy is a TCP proxy that stands between named sides and makes
// the network between them fail. README.md states its faults.
package faultproxy

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// Any stands for every side in a rule.
const Any = "*"

// Fault is what happens to bytes that travel in one direction.
type Fault struct {
	// Delay is added to each piece, Jitter is the bound of a drawn addition.
	Delay, Jitter time.Duration
	// Cut holds all bytes back until the fault ends, as TCP does while its
	// segments are lost.
	Cut bool
	// BytesPerSecond slows the stream down, 0 for no bound.
	BytesPerSecond int
	// LossRate is the chance of a piece to be lost for good: the stream stalls
	// for Stall and is then reset, since a TCP stream can't skip bytes.
	LossRate float64
	Stall    time.Duration
	// ResetAfter resets a connection once this many bytes have passed since
	// the fault began, 0 for never.
	ResetAfter int
	// Duplicates is the number of further connection attempts that the target
	// sees for each one; they carry no bytes.
	Duplicates int
}

type direction struct{ from, to string }

// Counts are totals over all proxies of a network.
type Counts struct {
	Connections, Refused, Resets, Losses, Duplicates int
}

// Network holds the faults between sides. All its proxies share it.
type Network struct {
	seed uint64

	mu     sync.Mutex
	rules  map[direction]*Fault
	live   map[*connection]struct{}
	counts Counts
	drawn  map[direction]uint64
	// changed is closed by the next change of rules.
	changed chan struct{}
}

// NewNetwork returns a network without faults. What it draws follows the seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		seed:    seed,
		rules:   make(map[direction]*Fault),
		live:    make(map[*connection]struct{}),
		drawn:   make(map[direction]uint64),
		changed: make(chan struct{}),
	}
}

// Set puts a fault on the bytes from one side to another. Either may be Any;
// the rule that names more of the two wins.
func (n *Network) Set(from, to string, f Fault) {
	n.change(func() { n.rules[direction{from, to}] = &f })
}

// Clear ends the fault that Set put on a direction.
func (n *Network) Clear(from, to string) {
	n.change(func() { delete(n.rules, direction{from, to}) })
}

// Partition cuts each side of a from each side of b in both directions.
func (n *Network) Partition(a, b []string) { n.pairs(a, b, &Fault{Cut: true}) }

// Heal ends what Partition did.
func (n *Network) Heal(a, b []string) { n.pairs(a, b, nil) }

func (n *Network) pairs(a, b []string, f *Fault) {
	n.change(func() {
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

func (n *Network) change(apply func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Reset resets every connection that one side has opened to another, and
// returns their number.
func (n *Network) Reset(from, to string) int {
	n.mu.Lock()
	var matching []*connection
	for c := range n.live {
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

func matches(pattern, side string) bool { return pattern == Any || pattern == side }

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

// rule returns the fault in force in a direction and the channel that is
// closed by the next change. The fault is never modified.
func (n *Network) rule(from, to string) (*Fault, <-chan struct{}) {
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

// random returns the source for the next connection in a direction, so that
// draws on one connection don't depend on the timing of another.
func (n *Network) random(from, to string) *rand.Rand {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := direction{from, to}
	n.drawn[d]++
	h := fnv.New64a()
	_, _ = h.Write([]byte(from + "\x00" + to))
	return rand.New(rand.NewPCG(n.seed, h.Sum64()+n.drawn[d]))
}

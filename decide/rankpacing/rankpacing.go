// Package rankpacing derives the intervals, timeouts and fan-out of the calls between
// a leader and the ranks of its group from the number of ranks, the shape of the expert
// map, and the bandwidth and processor share of the leader's VM.
//
// It answers for large groups on small VMs: calls that are right for 12 ranks and
// 20 Mbit/s saturate the link and the processor of a leader of 64 ranks at 6 Mbit/s,
// so that every call times out and no map ever changes.
package rankpacing

import (
	"math"
	"time"
)

const (
	// minReadInterval is the minimum time between regular reads of all ranks.
	minReadInterval = 40 * time.Millisecond
	// A change waits for a read a few times. minWantedInterval is the minimum time between
	// such a read and the one before it.
	minWantedInterval = 25 * time.Millisecond
	// orderingReadIntervals is the number of regular intervals between reads while a
	// change waits for orders alone: a read of all ranks delays these orders by its part of
	// the processor and the link.
	orderingReadIntervals = 2
	// callTime is the processor time of a call at the leader, on a whole core.
	callTime = 150 * time.Microsecond
	// maxReadFraction is the fraction of the process's processor share, and of its link,
	// that regular reads may use. Without the bound on the link, a leader with a whole core
	// and 6 Mbit/s would use 64% of its link to read 64 ranks, and more than all of it to
	// read 256.
	maxReadFraction = 0.4
	// callOverheadBytes is the size of a small call or of its reply, with the headers
	// of all protocols.
	callOverheadBytes = 300
	// baseCallTimeout bounds a small call to one rank. It allows for a lost packet on a
	// new connection between zones.
	baseCallTimeout = 150 * time.Millisecond
	// baseReadTimeout bounds the read of one rank. No other read waits for it, so it
	// allows for the retransmission of a lost packet.
	baseReadTimeout = 600 * time.Millisecond
	// contentionFactor is the ratio of a call's timeout to the processor and link time
	// of all concurrent calls, because other work shares both.
	contentionFactor = 2
	// countsBytes is the mean encoded size of one count. Most deltas are below 128 and
	// take one byte.
	countsBytes = 1.1
	// maxCountsLinkFraction is the fraction of the link that counts may use.
	maxCountsLinkFraction = 0.25
	// maxCountsInterval is the longest time between samples of the counts that still
	// finds a shift of demand soon. Counts are read from a part of the ranks if the
	// link is too slow to read all within it.
	maxCountsInterval = 125 * time.Millisecond
	// minCountedRanks is the minimum number of ranks in a sample. Fewer ranks run too
	// few requests to estimate the demand.
	minCountedRanks = 12
	// minRelayGain is the saved time that justifies sending orders through other ranks'
	// processes. Each relayed order depends on one more process.
	minRelayGain = 25 * time.Millisecond
	// serialOrders is the number of orders of a change that are sent one after the other,
	// each of which takes about orderTime with the delay between zones and the connection.
	serialOrders = 4
	orderTime    = 10 * time.Millisecond
	// leaderTimeoutReads is the number of missed reads after which a process takes the
	// lead, but not before minLeaderTimeout. A group of 72 ranks, which reads nine times a
	// second, then has a new leader and its load at the edges before the last one is too
	// old to be used; with 6 it had not, and edges filled the ranks by guess.
	leaderTimeoutReads = 5
	minLeaderTimeout   = 500 * time.Millisecond
)

// ranksPerPublisher is the number of ranks for each process that publishes the load of
// the group to edges.
const ranksPerPublisher = 8

// Publishes reports whether the process beside a rank publishes the load of the group.
// The process beside rank 0 usually leads and is left out.
func Publishes(rank int) bool { return rank%ranksPerPublisher == 1 }

// PublisherFor returns the rank whose process a rank's process names to edges that ask for
// the load of the group. The ranks are spread evenly over the publishers.
func PublisherFor(rank, ranks int) int {
	publishers := max(1, (ranks+ranksPerPublisher-2)/ranksPerPublisher)
	return min(1+ranksPerPublisher*(rank%publishers), ranks-1)
}

// Group describes a group and the VM of its leader. A zero LinkMbps or CPUShare means
// that it is unknown and does not limit anything.
type Group struct {
	Ranks, Layers, Experts int
	LinkMbps               float64
	// CPUShare is the processor share of the process, as a fraction of a core.
	CPUShare float64
}

// transfer returns the time that bytes take on the leader's link.
func (g Group) transfer(bytes float64) time.Duration {
	if g.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(8 * bytes / (g.LinkMbps * 1e6) * float64(time.Second))
}

// processing returns the time that calls take on the process's processor share.
func (g Group) processing(calls int) time.Duration {
	share := g.CPUShare
	if share <= 0 {
		share = 1
	}
	return time.Duration(float64(calls) * float64(callTime) / share)
}

// callsTime returns the time that concurrent calls take at the leader, each of which
// transfers bytes in addition to its overhead.
func (g Group) callsTime(calls int, bytes float64) time.Duration {
	return g.processing(calls) + g.transfer(float64(calls)*(bytes+callOverheadBytes))
}

// ReadInterval returns the time between regular reads of all ranks.
func (g Group) ReadInterval() time.Duration {
	needed := max(g.processing(g.Ranks), g.transfer(float64(g.Ranks)*callOverheadBytes))
	return max(minReadInterval, time.Duration(float64(needed)/maxReadFraction))
}

// Reads describes what a change of the map needs from the next read of all ranks.
type Reads struct {
	// LastAt is when the last read of all ranks started.
	LastAt time.Duration
	// WantedFrom is the time from which on a read advances the change, valid if Wanted is
	// set.
	WantedFrom time.Duration
	Wanted     bool
	// Ordering is set while the change waits for the results of orders alone.
	Ordering bool
}

// WantedNext reports whether the next read is one for which the change waits.
func (r Reads) WantedNext() bool { return r.Wanted && r.LastAt < r.WantedFrom }

// NextRead returns when the next read of all ranks is due. A regular read gives way to a
// wanted one that follows within half an interval, which would have to wait for its end.
func (g Group) NextRead(r Reads) time.Duration {
	interval := g.ReadInterval()
	if r.Ordering {
		interval *= orderingReadIntervals
	}
	regular := r.LastAt + interval
	if r.WantedNext() && r.WantedFrom <= regular+interval/2 {
		return max(r.WantedFrom, r.LastAt+minWantedInterval)
	}
	return regular
}

// countsSize returns the encoded size of the counts of one rank.
func (g Group) countsSize() float64 { return countsBytes * float64(g.Layers*g.Experts) }

// CountedRanks returns the number of ranks whose counts are read.
func (g Group) CountedRanks() int {
	if g.LinkMbps <= 0 || g.countsSize() == 0 {
		return g.Ranks
	}
	perRank := g.transfer(g.countsSize())
	n := int(maxCountsLinkFraction * float64(maxCountsInterval) / float64(perRank))
	return min(g.Ranks, max(n, minCountedRanks))
}

// CountsInterval returns the minimum time between reads of the counts of
// CountedRanks ranks.
func (g Group) CountsInterval() time.Duration {
	return time.Duration(float64(g.transfer(float64(g.CountedRanks())*g.countsSize())) / maxCountsLinkFraction)
}

// Counted reports whether the counts of a rank are read. The counted ranks are spread
// evenly over the group.
func (g Group) Counted(rank int) bool {
	n := g.CountedRanks()
	return n >= g.Ranks || rank*n/g.Ranks != (rank+1)*n/g.Ranks
}

// ReadTimeout bounds the read of one rank while all others are read. counts is true if
// counts are read.
func (g Group) ReadTimeout(counts bool) time.Duration {
	timeout := baseReadTimeout + contentionFactor*g.callsTime(g.Ranks, 0)
	if counts {
		timeout += contentionFactor * g.transfer(float64(g.CountedRanks())*g.countsSize())
	}
	return timeout
}

// RoundTime returns the time after which a round of reads ends without the ranks that
// have not responded. counts is true if counts are read.
func (g Group) RoundTime(counts bool) time.Duration {
	return g.ReadTimeout(counts) - baseReadTimeout + minReadInterval
}

// CallTimeout bounds one of several concurrent calls that each transfer bytes.
func (g Group) CallTimeout(calls int, bytes float64) time.Duration {
	return baseCallTimeout + contentionFactor*g.callsTime(calls, bytes)
}

// ArmTime returns how long small orders to all ranks are expected to take.
func (g Group) ArmTime() time.Duration { return g.callsTime(g.Ranks, 0) }

// PrepareTime returns how long it is expected to take from a proposal until the leader sees
// that all ranks have prepared it, beyond the time of copying: the orders and a read.
func (g Group) PrepareTime() time.Duration { return 2*g.ArmTime() + 2*orderTime }

// SwitchTime returns how long it is expected to take from there until the first pass with
// the new map: orders to all ranks, to the last two and the release, and on average half of
// a pass.
func (g Group) SwitchTime(passTime time.Duration) time.Duration {
	return g.ArmTime() + serialOrders*orderTime + passTime/2
}

// Fanout returns the number of ranks to which the leader itself sends an order of a
// given size; each of their processes relays it to an equal part of the others. It
// returns the number of receivers if relaying saves too little.
func (g Group) Fanout(receivers int, bytes float64) int {
	if receivers <= 1 {
		return receivers
	}
	direct := g.callsTime(receivers, bytes)
	fanout := int(math.Ceil(math.Sqrt(float64(receivers))))
	relayed := g.callsTime(fanout, bytes) + g.callsTime((receivers+fanout-1)/fanout-1, bytes)
	if direct-relayed < minRelayGain {
		return receivers
	}
	return fanout
}

// LeaderTimeout returns the time without a read by a lower rank after which a process
// takes the lead.
func (g Group) LeaderTimeout() time.Duration {
	return max(minLeaderTimeout, leaderTimeoutReads*g.ReadInterval())
}

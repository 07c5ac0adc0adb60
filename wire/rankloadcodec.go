package wire

import (
	"slices"
	"time"

	"github.com/mulberryfork/mulberryfork/api"
)

// shiftImbalanceHash is the address hash of the entry among the ranks of a load whose pace
// holds the ShiftImbalance. A process that does not know the field ignores the entry like
// that of any rank with an unknown address, whereas it refuses a message with more fields.
const shiftImbalanceHash = 0

func (w *rankWriter) rankLoadReply(m *RankLoadReply) {
	w.text(m.Referral)
	w.text(m.Load.Group)
	w.uvarint(m.Load.Epoch)
	w.flag(m.Load.Formed)
	w.uvarint(uint64(m.Load.PassTime))
	ranks := m.Load.Ranks
	if m.Load.ShiftImbalance > 0 {
		ranks = append(slices.Clip(ranks), api.RankLoad{AddressHash: shiftImbalanceHash, Pace: m.Load.ShiftImbalance})
	}
	w.uvarint(uint64(len(ranks)))
	for _, rank := range ranks {
		w.uvarint(rank.AddressHash)
		w.uvarint(uint64(rank.Requests))
		w.pace(rank.Pace)
	}
	w.uvarint(m.AgeMs)
	w.texts(m.Publishers)
}

func (r *rankReader) rankLoadReply(m *RankLoadReply) {
	m.Referral = r.text()
	m.Load.Group = r.text()
	m.Load.Epoch = r.uvarint()
	m.Load.Formed = r.flag()
	m.Load.PassTime = time.Duration(r.uvarint())
	if n := r.length(); n > 0 {
		m.Load.Ranks = make([]api.RankLoad, 0, n)
		for range n {
			rank := api.RankLoad{AddressHash: r.uvarint(), Requests: int(r.uvarint()), Pace: r.pace()}
			if rank.AddressHash == shiftImbalanceHash {
				m.Load.ShiftImbalance = rank.Pace
				continue
			}
			m.Load.Ranks = append(m.Load.Ranks, rank)
		}
	}
	m.AgeMs = r.uvarint()
	m.Publishers = r.texts()
}

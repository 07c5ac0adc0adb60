package wire

import (
	"encoding/binary"
	"fmt"

	"storj.io/drpc"

	"github.com/mulberryfork/mulberryfork/api"
)

// compactEncoding carries the messages between processes beside ranks as
// variable-length integers: a leader's link of a few Mbit/s holds the counts and
// the maps of all ranks, which take several times that as text.
type compactEncoding struct{}

// RankEncoding is that of the messages between processes beside ranks.
var RankEncoding drpc.Encoding = compactEncoding{}

// UnknownMessageError reports a message that has no compact encoding.
type UnknownMessageError struct{ Message drpc.Message }

func (e *UnknownMessageError) Error() string {
	return fmt.Sprintf("no compact encoding for %T", e.Message)
}

// RankMessageError reports bytes that are no message between ranks.
type RankMessageError struct{ Message drpc.Message }

func (e *RankMessageError) Error() string { return fmt.Sprintf("malformed %T", e.Message) }

func (compactEncoding) Marshal(m drpc.Message) ([]byte, error) {
	var w rankWriter
	switch m := m.(type) {
	case *RankRead:
		w.read(m)
	case *RankReply:
		w.reply(m)
	case *api.RankOrder:
		w.order(m)
	case *RankAnswered:
		w.number(uint64(m.Answer))
	default:
		return nil, &UnknownMessageError{Message: m}
	}
	return w.out, nil
}

func (compactEncoding) Unmarshal(data []byte, m drpc.Message) error {
	r := rankReader{left: data}
	switch m := m.(type) {
	case *RankRead:
		r.read(m)
	case *RankReply:
		r.reply(m)
	case *api.RankOrder:
		r.order(m)
	case *RankAnswered:
		m.Answer = api.RankAnswer(r.number())
	default:
		return &UnknownMessageError{Message: m}
	}
	if r.bad || len(r.left) > 0 {
		return &RankMessageError{Message: m}
	}
	return nil
}

type rankWriter struct{ out []byte }

func (w *rankWriter) number(n uint64) { w.out = binary.AppendUvarint(w.out, n) }

func (w *rankWriter) text(s string) {
	w.number(uint64(len(s)))
	w.out = append(w.out, s...)
}

func (w *rankWriter) flag(b bool) {
	n := uint64(0)
	if b {
		n = 1
	}
	w.number(n)
}

// optional writes 0 for a number that is absent.
func (w *rankWriter) optional(n *uint64) {
	w.flag(n != nil)
	if n != nil {
		w.number(*n)
	}
}

func (w *rankWriter) lists(lists [][]int) {
	w.number(uint64(len(lists)))
	for _, list := range lists {
		w.number(uint64(len(list)))
		for _, n := range list {
			w.number(uint64(n))
		}
	}
}

func (w *rankWriter) read(m *RankRead) {
	w.number(uint64(m.Leader))
	w.text(m.Group)
	w.number(m.Token)
	w.flag(m.Counts)
	w.flag(m.Experts)
	w.number(m.Since)
}

func (w *rankWriter) reply(m *RankReply) {
	r := &m.State.Report
	w.text(r.Address)
	w.text(r.Group)
	w.number(r.Epoch)
	w.number(uint64(r.Rank))
	w.number(uint64(r.Size))
	w.flag(r.Open)
	w.number(r.Step)
	w.number(r.Map)
	w.optional(r.Prepared)
	w.optional(r.Armed)
	w.optional(r.Held)
	w.number(uint64(r.Running))
	w.number(uint64(r.Waiting))
	w.number(uint64(len(m.State.Counts)))
	for _, n := range m.State.Counts {
		w.number(n)
	}
	w.lists(m.State.Experts)
	w.number(m.State.Token)
	w.number(m.Base)
	w.number(m.Snapshot)
}

func (w *rankWriter) order(m *api.RankOrder) {
	w.text(string(m.Op))
	w.number(m.Token)
	w.number(m.Epoch)
	w.number(m.Version)
	w.number(m.Step)
	w.number(uint64(len(m.Map)))
	for _, layer := range m.Map {
		w.lists(layer)
	}
}

// rankReader reads what rankWriter wrote. It is bad once something did not fit.
type rankReader struct {
	left []byte
	bad  bool
}

func (r *rankReader) number() uint64 {
	n, size := binary.Uvarint(r.left)
	if size <= 0 {
		r.bad, r.left = true, nil
		return 0
	}
	r.left = r.left[size:]
	return n
}

// length reads the length of a list. Each entry takes a byte or more, so that a
// malformed length allocates no more than the message has.
func (r *rankReader) length() int {
	n := r.number()
	if n > uint64(len(r.left)) {
		r.bad, r.left = true, nil
		return 0
	}
	return int(n)
}

func (r *rankReader) text() string {
	n := r.length()
	s := string(r.left[:n])
	r.left = r.left[n:]
	return s
}

func (r *rankReader) flag() bool { return r.number() == 1 }

func (r *rankReader) optional() *uint64 {
	if !r.flag() {
		return nil
	}
	n := r.number()
	return &n
}

// lists reads nil for no lists.
func (r *rankReader) lists() [][]int {
	n := r.length()
	if n == 0 {
		return nil
	}
	lists := make([][]int, n)
	for i := range lists {
		lists[i] = make([]int, r.length())
		for k := range lists[i] {
			lists[i][k] = int(r.number())
		}
	}
	return lists
}

func (r *rankReader) read(m *RankRead) {
	m.Leader = int(r.number())
	m.Group = r.text()
	m.Token = r.number()
	m.Counts = r.flag()
	m.Experts = r.flag()
	m.Since = r.number()
}

func (r *rankReader) reply(m *RankReply) {
	m.State.Report = api.RankReport{
		Address: r.text(), Group: r.text(), Epoch: r.number(), Rank: int(r.number()), Size: int(r.number()),
		Open: r.flag(), Step: r.number(), Map: r.number(),
		Prepared: r.optional(), Armed: r.optional(), Held: r.optional(),
		Running: int(r.number()), Waiting: int(r.number()),
	}
	if n := r.length(); n > 0 {
		m.State.Counts = make([]uint64, n)
		for i := range m.State.Counts {
			m.State.Counts[i] = r.number()
		}
	}
	m.State.Experts = r.lists()
	m.State.Token = r.number()
	m.Base = r.number()
	m.Snapshot = r.number()
}

func (r *rankReader) order(m *api.RankOrder) {
	m.Op = api.RankOp(r.text())
	m.Token = r.number()
	m.Epoch = r.number()
	m.Version = r.number()
	m.Step = r.number()
	if n := r.length(); n > 0 {
		m.Map = make([][][]int, n)
		for l := range m.Map {
			m.Map[l] = r.lists()
		}
	}
}

package wire

import (
	"encoding/binary"
	"fmt"

	"storj.io/drpc"

	"github.com/mulberryfork/mulberryfork/api"
)

// compactEncoding encodes messages as variable-length integers. The counts and
// maps of all ranks share the leader's link of a few Mbit/s; a text encoding takes
// several times the bandwidth.
type compactEncoding struct{}

// RankEncoding is the encoding of the messages between the processes that control
// the ranks of a group.
var RankEncoding drpc.Encoding = compactEncoding{}

// UnknownMessageError reports a message that has no compact encoding.
type UnknownMessageError struct{ Message drpc.Message }

func (e *UnknownMessageError) Error() string {
	return fmt.Sprintf("no compact encoding for %T", e.Message)
}

// RankMessageError reports bytes that do not decode to the message.
type RankMessageError struct{ Message drpc.Message }

func (e *RankMessageError) Error() string { return fmt.Sprintf("malformed message %T", e.Message) }

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

// optional writes a presence flag, then the number if it is present.
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

// rankReader decodes the encoding of rankWriter. After the first error bad is true
// and all reads return zero values.
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

// length reads the length of a list. It refuses a length above the number of
// remaining bytes, since each entry takes at least one byte. This bounds the
// allocation for a malformed length.
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

// lists returns nil if there are no lists.
func (r *rankReader) lists() [][]int {
	n := r.length()
	if n == 0 {
		return nil
	}
	lists := make([][]int, n)
	for i := range lists {
		lists[i] = make([]int, r.length())
		for j := range lists[i] {
			lists[i][j] = int(r.number())
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
		for layer := range m.Map {
			m.Map[layer] = r.lists()
		}
	}
}

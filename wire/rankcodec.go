package wire

import (
	"encoding/binary"
	"fmt"
	"math"

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

// UnsupportedMessageError reports a message that has no compact encoding.
type UnsupportedMessageError struct{ Message drpc.Message }

func (e *UnsupportedMessageError) Error() string {
	return fmt.Sprintf("no compact encoding for %T", e.Message)
}

// MalformedRankMessageError reports bytes that do not decode to the message.
type MalformedRankMessageError struct{ Message drpc.Message }

func (e *MalformedRankMessageError) Error() string {
	return fmt.Sprintf("malformed message %T", e.Message)
}

func (compactEncoding) Marshal(m drpc.Message) ([]byte, error) {
	var w rankWriter
	switch m := m.(type) {
	case *RankReadRequest:
		w.rankReadRequest(m)
	case *RankReadReply:
		w.rankReadReply(m)
	case *RankOrderRequest:
		w.rankOrderRequest(m)
	case *RankLoadRequest:
	case *RankLoadReply:
		w.rankLoadReply(m)
	case *RankOrderReply:
		w.uvarint(uint64(len(m.Results)))
		for _, result := range m.Results {
			w.uvarint(uint64(result))
		}
	default:
		return nil, &UnsupportedMessageError{Message: m}
	}
	return w.buf, nil
}

func (compactEncoding) Unmarshal(data []byte, m drpc.Message) error {
	r := rankReader{rest: data}
	switch m := m.(type) {
	case *RankReadRequest:
		r.rankReadRequest(m)
	case *RankReadReply:
		r.rankReadReply(m)
	case *RankOrderRequest:
		r.rankOrderRequest(m)
	case *RankLoadRequest:
	case *RankLoadReply:
		r.rankLoadReply(m)
	case *RankOrderReply:
		if n := r.length(); n > 0 {
			m.Results = make([]api.RankResult, n)
			for i := range m.Results {
				m.Results[i] = api.RankResult(r.uvarint())
			}
		}
	default:
		return &UnsupportedMessageError{Message: m}
	}
	if r.failed || len(r.rest) > 0 {
		return &MalformedRankMessageError{Message: m}
	}
	return nil
}

type rankWriter struct{ buf []byte }

func (w *rankWriter) uvarint(n uint64) { w.buf = binary.AppendUvarint(w.buf, n) }

// paceUnit is the precision of an encoded pace.
const paceUnit = 0.01

func (w *rankWriter) pace(p float64) { w.uvarint(uint64(math.Round(max(p, 0) / paceUnit))) }

func (r *rankReader) pace() float64 { return float64(r.uvarint()) * paceUnit }

func (w *rankWriter) text(s string) {
	w.uvarint(uint64(len(s)))
	w.buf = append(w.buf, s...)
}

func (w *rankWriter) flag(b bool) {
	n := uint64(0)
	if b {
		n = 1
	}
	w.uvarint(n)
}

// optionalUvarint writes a presence flag, then the number if it is present.
func (w *rankWriter) optionalUvarint(n *uint64) {
	w.flag(n != nil)
	if n != nil {
		w.uvarint(*n)
	}
}

func (w *rankWriter) lists(lists [][]int) {
	w.uvarint(uint64(len(lists)))
	for _, list := range lists {
		w.uvarint(uint64(len(list)))
		for _, n := range list {
			w.uvarint(uint64(n))
		}
	}
}

func (w *rankWriter) rankReadRequest(m *RankReadRequest) {
	w.uvarint(uint64(m.Leader))
	w.text(m.Group)
	w.uvarint(m.Token)
	w.flag(m.Counts)
	w.flag(m.Experts)
	w.uvarint(m.LastSnapshot)
	w.text(m.Publisher)
	w.flag(m.Load != nil)
	if m.Load != nil {
		w.rankLoadReply(m.Load)
	}
}

func (w *rankWriter) rankReadReply(m *RankReadReply) {
	r := &m.State.Report
	w.text(r.Address)
	w.text(r.Group)
	w.uvarint(r.Epoch)
	w.uvarint(uint64(r.Rank))
	w.uvarint(uint64(r.Size))
	w.flag(r.Formed)
	w.uvarint(r.Step)
	w.uvarint(r.MapVersion)
	w.optionalUvarint(r.PreparedMapVersion)
	w.optionalUvarint(r.ArmedMapVersion)
	w.optionalUvarint(r.HeldStep)
	w.uvarint(uint64(r.Running))
	w.uvarint(uint64(r.Waiting))
	w.pace(r.Pace)
	w.uvarint(uint64(len(m.State.Counts)))
	for _, n := range m.State.Counts {
		w.uvarint(n)
	}
	w.lists(m.State.Experts)
	w.uvarint(m.State.Token)
	w.uvarint(m.BaseSnapshot)
	w.uvarint(m.Snapshot)
}

func (w *rankWriter) rankOrder(m *api.RankOrder) {
	w.text(string(m.Op))
	w.uvarint(m.Token)
	w.uvarint(m.Epoch)
	w.uvarint(m.MapVersion)
	w.uvarint(m.Step)
	w.uvarint(uint64(len(m.Map)))
	for _, layer := range m.Map {
		w.lists(layer)
	}
}

func (w *rankWriter) rankOrderRequest(m *RankOrderRequest) {
	w.rankOrder(&m.Order)
	w.flag(m.IsDelta)
	w.uvarint(m.BaseVersion)
	w.uvarint(m.BaseToken)
	w.cells(m.Cells)
	w.uvarint(uint64(m.Layers))
	w.uvarint(uint64(m.Ranks))
	w.uvarint(uint64(m.Experts))
	w.texts(m.Relay)
	w.uvarint(m.TimeoutMs)
}

func (w *rankWriter) texts(list []string) {
	w.uvarint(uint64(len(list)))
	for _, s := range list {
		w.text(s)
	}
}

func (w *rankWriter) cells(cells []api.MapCell) {
	w.uvarint(uint64(len(cells)))
	for _, c := range cells {
		w.uvarint(uint64(c.Layer))
		w.uvarint(uint64(c.Rank))
		w.lists([][]int{c.Removed, c.Added})
	}
}

// rankReader decodes the encoding of rankWriter. After the first error failed is
// true and all reads return zero values.
type rankReader struct {
	rest   []byte
	failed bool
}

func (r *rankReader) uvarint() uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return n
}

// length reads the length of a list. It refuses a length above the number of
// remaining bytes, since each entry takes at least one byte. This bounds the
// allocation for a malformed length.
func (r *rankReader) length() int {
	n := r.uvarint()
	if n > uint64(len(r.rest)) {
		r.failed, r.rest = true, nil
		return 0
	}
	return int(n)
}

func (r *rankReader) text() string {
	n := r.length()
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

// flag decodes 1 as true and any other integer as false.
func (r *rankReader) flag() bool { return r.uvarint() == 1 }

func (r *rankReader) optionalUvarint() *uint64 {
	if !r.flag() {
		return nil
	}
	n := r.uvarint()
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
			lists[i][j] = int(r.uvarint())
		}
	}
	return lists
}

func (r *rankReader) rankReadRequest(m *RankReadRequest) {
	m.Leader = int(r.uvarint())
	m.Group = r.text()
	m.Token = r.uvarint()
	m.Counts = r.flag()
	m.Experts = r.flag()
	m.LastSnapshot = r.uvarint()
	m.Publisher = r.text()
	if r.flag() {
		m.Load = &RankLoadReply{}
		r.rankLoadReply(m.Load)
	}
}

func (r *rankReader) rankReadReply(m *RankReadReply) {
	m.State.Report = api.RankReport{
		Address: r.text(), Group: r.text(), Epoch: r.uvarint(), Rank: int(r.uvarint()), Size: int(r.uvarint()),
		Formed: r.flag(), Step: r.uvarint(), MapVersion: r.uvarint(),
		PreparedMapVersion: r.optionalUvarint(), ArmedMapVersion: r.optionalUvarint(), HeldStep: r.optionalUvarint(),
		Running: int(r.uvarint()), Waiting: int(r.uvarint()), Pace: r.pace(),
	}
	if n := r.length(); n > 0 {
		m.State.Counts = make([]uint64, n)
		for i := range m.State.Counts {
			m.State.Counts[i] = r.uvarint()
		}
	}
	m.State.Experts = r.lists()
	m.State.Token = r.uvarint()
	m.BaseSnapshot = r.uvarint()
	m.Snapshot = r.uvarint()
}

func (r *rankReader) rankOrder(m *api.RankOrder) {
	m.Op = api.RankOp(r.text())
	m.Token = r.uvarint()
	m.Epoch = r.uvarint()
	m.MapVersion = r.uvarint()
	m.Step = r.uvarint()
	if n := r.length(); n > 0 {
		m.Map = make([][][]int, n)
		for layer := range m.Map {
			m.Map[layer] = r.lists()
		}
	}
}

func (r *rankReader) rankOrderRequest(m *RankOrderRequest) {
	r.rankOrder(&m.Order)
	m.IsDelta = r.flag()
	m.BaseVersion = r.uvarint()
	m.BaseToken = r.uvarint()
	m.Cells = r.cells()
	m.Layers, m.Ranks, m.Experts = int(r.uvarint()), int(r.uvarint()), int(r.uvarint())
	m.Relay = r.texts()
	m.TimeoutMs = r.uvarint()
}

func (r *rankReader) cells() []api.MapCell {
	n := r.length()
	if n == 0 {
		return nil
	}
	cells := make([]api.MapCell, n)
	for i := range cells {
		cells[i].Layer, cells[i].Rank = int(r.uvarint()), int(r.uvarint())
		lists := r.lists()
		if len(lists) != 2 {
			r.failed = true
			return nil
		}
		cells[i].Removed, cells[i].Added = lists[0], lists[1]
	}
	return cells
}

func (r *rankReader) texts() []string {
	n := r.length()
	if n == 0 {
		return nil
	}
	list := make([]string, n)
	for i := range list {
		list[i] = r.text()
	}
	return list
}

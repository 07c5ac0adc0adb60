// Package storeera orders the statements of a store that can come back from an older
// copy of itself.
//
// Such a store loses the latest writes, and its revisions go back and are given out
// again for other content. It states an era with each answer, which rises by one each
// time. A revision therefore orders writes within one era only: which of two
// statements is newer is told by the pair of era and revision.
package storeera

import (
	"cmp"
	"strconv"
)

// Position is the place of a statement in the order of all statements of a store.
type Position struct {
	// Era is 0 if the store states none.
	Era      uint64
	Revision uint64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// lowerAnswers is the number of answers in a row after which an era below the latest one is
// taken for a new one.
const lowerAnswers = 3

// Tracker knows the latest era that a store has stated to one reader. Its zero value
// knows none.
//
// It counts eras in the order in which it met them: era is that which the store stated, or
// more if the store's own counter has gone back.
type Tracker struct {
	era, stated uint64
	answered    bool
	// lower counts the latest answers that state an era below the latest one although their
	// read began in it.
	lower int
}

// Read is one read of the store, which may take several calls.
type Read struct {
	tracker     *Tracker
	era, stated uint64
}

// NewEraError reports that the store has begun a new era since the read began. The
// answer may lack changes, so the reader must read everything again.
type NewEraError struct{ Began, Stated uint64 }

func (e *NewEraError) Error() string {
	return "the store went from era " + strconv.FormatUint(e.Began, 10) + " to " + strconv.FormatUint(e.Stated, 10)
}

// OldEraError reports an answer that belongs to an era before the latest one.
type OldEraError struct{ Latest, Stated uint64 }

func (e *OldEraError) Error() string {
	return "answer of era " + strconv.FormatUint(e.Stated, 10) + " of the store, which is in era " + strconv.FormatUint(e.Latest, 10)
}

// Begin begins a read in the latest era.
func (t *Tracker) Begin() *Read { return &Read{tracker: t, era: t.era, stated: t.stated} }

// Era returns the era in which the read began, 0 if the store states none.
func (r *Read) Era() uint64 { return r.era }

// Check records the era that an answer to the read states, 0 for none, and returns nil
// if the answer counts. An answer without an era is taken to be of the era in which the
// read began. The era of the first answer of all is that of its read. Otherwise Check
// returns a NewEraError or an OldEraError, and nothing of the read may be used.
func (r *Read) Check(stated uint64) error {
	t := r.tracker
	if stated == 0 {
		stated = r.stated
	}
	if !t.answered {
		t.answered = true
		t.era, t.stated, r.era, r.stated = stated, stated, stated, stated
		return nil
	}
	switch {
	case stated > t.stated:
		return t.begin(stated)
	case stated < t.stated || r.era < t.era:
		if r.era == t.era {
			t.lower++
		}
		return &OldEraError{Latest: t.stated, Stated: min(stated, r.stated)}
	}
	t.lower = 0
	return nil
}

func (t *Tracker) begin(stated uint64) *NewEraError {
	began := t.stated
	t.era, t.stated, t.lower = max(t.era+1, stated), stated, 0
	return &NewEraError{Began: began, Stated: stated}
}

// Doubted reports whether the last answer stated an era below the latest one. The next read
// must then not be one that the store may answer from the past.
func (t *Tracker) Doubted() bool { return t.lower > 0 }

// FollowLower begins a new era after answers in a row that state one below the latest: the
// store has lost its counter, or an answer stated a wrong era. It returns nil if there are
// too few of them. The reader must read one call after the other, so that no answer is late.
func (t *Tracker) FollowLower(last *OldEraError) *NewEraError {
	if t.lower < lowerAnswers {
		return nil
	}
	return t.begin(last.Stated)
}

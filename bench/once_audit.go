package bench

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// onceAudit is the test oracle. It records every run and every reported run state.
type onceAudit struct {
	runs []int
	// claimedNotRun holds the sends that were reported as not_run.
	claimedNotRun map[api.AttemptID]bool
	// pending holds, by agent process, the accepted entries that neither ran nor
	// were refused.
	pending map[*onceProcess]map[api.AttemptID]bool

	duplicateRuns int
	falseNotRun   int
	wrongAnswers  int
	answers       int
	lost          int
	// callerMade counts the accepted entries with caller-made keys.
	callerMade int
}

func newOnceAudit(requests int) *onceAudit {
	return &onceAudit{
		runs:          make([]int, requests),
		claimedNotRun: make(map[api.AttemptID]bool),
		pending:       make(map[*onceProcess]map[api.AttemptID]bool),
	}
}

func (a *onceAudit) recordAccepted(p *onceProcess, owner api.AttemptID, key string) {
	if _, err := idemkey.ParseBound(key); err != nil {
		a.callerMade++
	}
	if a.pending[p] == nil {
		a.pending[p] = make(map[api.AttemptID]bool)
	}
	a.pending[p][owner] = true
}

// recordSettled removes an accepted entry that ran or was refused.
func (a *onceAudit) recordSettled(p *onceProcess, owner api.AttemptID) { delete(a.pending[p], owner) }

// dropProcess removes the entries of a killed process. Its keys are bound to a
// lost incarnation, so their callers get an unknown outcome.
func (a *onceAudit) dropProcess(p *onceProcess) { delete(a.pending, p) }

func (a *onceAudit) recordRun(request int, sends []onceWaiter) {
	a.runs[request]++
	if a.runs[request] > 1 {
		a.duplicateRuns++
	}
	for _, waiter := range sends {
		if a.claimedNotRun[waiter.send] {
			a.falseNotRun++
		}
	}
}

// recordNotRun records that a send was reported as not_run and checks a report of
// an agent. A router reports not_run for a send that it did not forward, which
// says nothing about other sends of the key.
func (a *onceAudit) recordNotRun(request int, send api.AttemptID, byAgent bool) {
	if byAgent && a.runs[request] > 0 && !a.claimedNotRun[send] {
		a.falseNotRun++
	}
	a.claimedNotRun[send] = true
}

func (a *onceAudit) checkAnswer(got, want string) {
	a.answers++
	if got != want {
		a.wrongAnswers++
	}
}

// close counts the entries that live agents accepted and did not settle by the
// end of the quiet period.
func (a *onceAudit) close() {
	for _, entries := range a.pending {
		a.lost += len(entries)
	}
}

// onceProcess is a process that can be paused and killed.
type onceProcess struct {
	pausedUntil time.Duration
	killed      bool
}

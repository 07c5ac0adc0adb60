package bench

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// onceAudit is the oracle of the experiment: it sees every run and every claim.
type onceAudit struct {
	runs []int
	// claimedNotRun holds the sends that were told not_run.
	claimedNotRun map[api.AttemptID]bool
	// pending holds accepted entries by agent process that neither ran nor were refused.
	pending map[*onceProcess]map[api.AttemptID]bool

	duplicateRuns int
	falseNotRun   int
	wrongAnswers  int
	answers       int
	lost          int
	// callerMade counts the accepted entries under keys that callers made.
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

// recordSettled notes that an accepted entry was answered for.
func (a *onceAudit) recordSettled(p *onceProcess, owner api.AttemptID) { delete(a.pending[p], owner) }

// dropProcess forgets the entries of a process that was killed: its keys are bound
// to a lost incarnation and their outcome is unknown, which callers are told.
func (a *onceAudit) dropProcess(p *onceProcess) { delete(a.pending, p) }

func (a *onceAudit) recordRun(request int, sends []onceWaiter) {
	a.runs[request]++
	if a.runs[request] > 1 {
		a.duplicateRuns++
	}
	for _, w := range sends {
		if a.claimedNotRun[w.send] {
			a.falseNotRun++
		}
	}
}

// recordNotRun checks a claim of an agent. A router's claim that a send never left
// it concerns that send only, not what other sends of the key did.
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

// close counts what was accepted by an agent that still lives and has had
// time to settle it.
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

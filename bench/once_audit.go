package bench

import (
	"time"

	"github.com/mulberryfork/mulberryfork/api"
	"github.com/mulberryfork/mulberryfork/decide/idemkey"
)

// onceAudit is the test oracle. It records every run and every reported run state.
type onceAudit struct {
	runs []int
	// claimedNotRun holds the attempts that were reported as not_run.
	claimedNotRun map[api.AttemptID]bool
	// pending holds, by agent process, the accepted entries that neither ran nor
	// were refused.
	pending map[*onceProcess]map[api.AttemptID]bool

	duplicateRuns  int
	falseNotRun    int
	wrongResponses int
	responses      int
	// lost counts accepted entries that neither ran nor were refused, and outcomes that
	// were missing before their retention ended.
	lost int
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

// recordRun records a run of a request and the attempts that wait for its response.
func (a *onceAudit) recordRun(request int, waiters []onceWaiter) {
	a.runs[request]++
	if a.runs[request] > 1 {
		a.duplicateRuns++
	}
	for _, waiter := range waiters {
		if a.claimedNotRun[waiter.attempt] {
			a.falseNotRun++
		}
	}
}

// recordNotRun records that an attempt was reported as not_run. It checks the report
// only if an agent made it: a router reports not_run for an attempt that it did not
// forward, even if another attempt with the same key ran.
func (a *onceAudit) recordNotRun(request int, attempt api.AttemptID, byAgent bool) {
	if byAgent && a.runs[request] > 0 && !a.claimedNotRun[attempt] {
		a.falseNotRun++
	}
	a.claimedNotRun[attempt] = true
}

func (a *onceAudit) checkResponse(got, want string) {
	a.responses++
	if got != want {
		a.wrongResponses++
	}
}

// close counts as lost the entries that running agents accepted but neither
// ran nor refused by the end of the quiet period.
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

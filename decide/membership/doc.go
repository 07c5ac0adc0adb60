// Package membership decides which VMs are leaving and which upstreams are
// down, from the platform's eventually consistent VM list, this process's own
// links and the reports of other processes.
//
// Own observations take precedence over reports, and no single report can mark
// an upstream as down for another process. That a VM is leaving is accepted
// from any process that read it on the list, because a false positive costs
// some capacity while a false negative breaks a guarantee.
//
// A State is owned by the control goroutine.
package membership

// Package membership decides which VMs leave and which upstreams are down,
// from the platform's lagging list, the process's own links and what other
// processes say.
//
// Own observations go before the word of others, and the word of one process
// alone takes no upstream from another. That a VM is leaving is believed from
// anyone who read it on the list, because believing it too long costs some
// capacity while missing it breaks a promise.
//
// A State belongs to the control goroutine.
package membership

package discovery

import "time"

// trustedFraction is the fraction of the revocation deadline for which API keys
// are accepted without an update from the store. The rest covers a watch that
// ended without reporting a revocation: watches may miss changes for a second.
const trustedFraction = 0.75

// KeysTrusted reports whether API keys may be accepted under a view that was
// last known to be current at asOf. An older view may miss a revocation, which
// must take effect within revocationDeadline.
func KeysTrusted(now, asOf, revocationDeadline time.Duration) bool {
	return asOf > 0 && now-asOf < time.Duration(trustedFraction*float64(revocationDeadline))
}

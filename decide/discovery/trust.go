package discovery

import "time"

// trustPart is the part of the revocation bound for which keys are believed
// without news of the store. The rest covers a watch that ended without news
// although a key was revoked: watches may hear nothing for a second.
const trustPart = 0.75

// KeysTrusted says whether API keys may be accepted under a view that was
// last known to be current at a time. Past that a key may have been revoked.
func KeysTrusted(now, asOf, revocation time.Duration) bool {
	return asOf > 0 && now-asOf < time.Duration(trustPart*float64(revocation))
}

package discovery

import "time"

// trustPart is the part of the revocation bound for which keys are believed
// without news of the store. The rest covers the time between the check of a
// key and the start of the request at its upstream.
const trustPart = 0.86

// KeysTrusted says whether API keys may be accepted under a view that was
// last known to be current at a time. Past that a key may have been revoked.
func KeysTrusted(now, asOf, revocation time.Duration) bool {
	return asOf > 0 && now-asOf < time.Duration(trustPart*float64(revocation))
}

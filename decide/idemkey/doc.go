// Package idemkey holds the rules for idempotency keys: the text form of keys
// that the system issues, the home upstream of keys that callers make, and the
// evidence by which an agent rules out that a caller's key has run before.
package idemkey

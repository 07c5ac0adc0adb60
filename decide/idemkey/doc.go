// Package idemkey implements idempotency keys: the text form of issued keys, the
// home upstream of caller-made keys, and the evidence an agent needs to rule out
// an earlier run of a caller-made key.
package idemkey

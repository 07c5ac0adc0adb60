// Package idemkey implements idempotency keys. A bound key is issued for one
// incarnation of one upstream's agent; both are part of its text. A caller-made key
// is any other text: rendezvous hashing determines its home upstream, and an agent
// needs evidence to rule out that it ran before.
package idemkey

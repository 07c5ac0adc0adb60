// Package idemkey implements idempotency keys. A bound key is issued by a router for
// one upstream, which is part of its text. A caller-made key is any other text; its
// home upstream is chosen by hashing, and an agent needs evidence to rule out that
// it ran before.
package idemkey

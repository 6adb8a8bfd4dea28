package idempotency

// claim is one claim in the fold. The claims of a key form a list in the order
// of their offsets; nearly every key has one.
type claim struct {
	nonce       uint64
	fingerprint uint64
	// timeMS is the log's time of the record.
	timeMS int64
	next   *claim
	owner  uint32
}

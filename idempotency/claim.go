package idempotency

// claim is one claim in the ClaimIndex. The claims of a key form a linked list
// in the order of their offsets; nearly every key has only one.
type claim struct {
	nonce       uint64
	fingerprint uint64
	// timeMS is the log time of the record.
	timeMS int64
	next   *claim
	owner  uint32
}

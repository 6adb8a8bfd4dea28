package idempotency

// AppendRef identifies an append that a Machine has requested.
type AppendRef struct {
	Type  RecordType
	Hash  KeyHash
	Nonce uint64
}

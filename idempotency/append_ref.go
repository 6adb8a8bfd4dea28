package idempotency

// AppendRef names an append of a machine.
type AppendRef struct {
	Type  RecordType
	Hash  KeyHash
	Nonce uint64
}

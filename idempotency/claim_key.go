package idempotency

// claimKey holds the fields of a Key that a claim needs. One is kept for every
// key in memory, so it omits the other fields.
type claimKey struct {
	Format KeyFormat
	Hash   KeyHash
	TimeMS int64
}

func (k Key) claimKey() claimKey {
	return claimKey{Format: k.Format, Hash: k.Hash, TimeMS: k.TimeMS}
}

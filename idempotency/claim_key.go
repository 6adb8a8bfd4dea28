package idempotency

// claimKey is the part of a Key that a claim needs. It is kept for every
// remembered key, so it leaves out the rest.
type claimKey struct {
	Form   Form
	Hash   KeyHash
	TimeMS int64
}

func (k Key) claimKey() claimKey {
	return claimKey{Form: k.Form, Hash: k.Hash, TimeMS: k.TimeMS}
}

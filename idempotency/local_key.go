package idempotency

import "time"

// localKey is a key that this process handles or has executed.
type localKey struct {
	key         claimKey
	fingerprint uint64
	state       localState
	// nonce is that of the own claim; 0 without one.
	nonce uint64
	// placed is set when the own claim was read, with the log's time.
	placed       bool
	placedTimeMS int64
	// claimedAt is when the claim was made, before its append.
	claimedAt time.Duration
	// logSince is since when the key waits for a claim or a release in the log.
	logSince time.Duration
	// token is the one that may still be ended; 0 for none.
	token uint64
	// attempts wait for the decision or for the running one to finish.
	attempts []uint64
	// questions wait for the outcome of the own claim.
	questions []uint64
	// asked is the claim whose owner is being asked.
	asked claimID
	// askID is the question in flight; answers to earlier ones are dropped.
	askID uint64
	// blocked is set while a claim of another process may be running.
	blocked bool
}

// remove deletes id from ids, keeping the order.
func remove(ids []uint64, id uint64) []uint64 {
	for i, other := range ids {
		if other == id {
			return append(ids[:i:i], ids[i+1:]...)
		}
	}
	return ids
}

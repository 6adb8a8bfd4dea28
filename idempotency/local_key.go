package idempotency

import "time"

// localKey is a key that this process is handling or has executed.
type localKey struct {
	key         claimKey
	fingerprint uint64
	state       localState
	// nonce is the nonce of this process's claim, 0 if there is none.
	nonce uint64
	// confirmed reports that this process's claim was read back from the
	// stream; confirmedTimeMS is its log time.
	confirmed       bool
	confirmedTimeMS int64
	// claimedAt is when the claim was made, before it was appended.
	claimedAt time.Duration
	// waitingSince is when the key started to wait for a claim or a release to
	// appear in the log.
	waitingSince time.Duration
	// token is the token in use, 0 if there is none.
	token uint64
	// attempts lists the attempts that wait for the decision or for the running
	// execution to finish.
	attempts []uint64
	// queries lists the queries of other processes that wait for the outcome of
	// this process's claim.
	queries []uint64
	// queried is the claim whose owner is being queried.
	queried claimID
	// queryID is the ID of the latest QueryOwner; replies to earlier ones are
	// ignored.
	queryID uint64
	// blocked is set while another process may be executing the key.
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

package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// entry is a node's record of one member.
type entry struct {
	Member
	// metaIncarnation is the incarnation of Meta. It can be lower than
	// Incarnation, because a suspicion with a newer incarnation can arrive
	// before the metadata of that incarnation.
	metaIncarnation uint64
	// descIncarnation is the incarnation at which the description, which is
	// Addr and Meta without the target state, last changed.
	descIncarnation uint64
	// digest is the hash of ID and metaIncarnation.
	digest uint64
	bucket int
	// index is the position in Node.present or Node.absent.
	index int
	// bucketIndex is the position in Node.buckets[bucket].
	bucketIndex int
	// changedAt is when State last changed.
	changedAt time.Time
	suspicion *suspicion
	rumor     rumor
}

func memberDigest(id uuid.UUID, metaIncarnation uint64) uint64 {
	var b [24]byte
	copy(b[:], id[:])
	binary.LittleEndian.PutUint64(b[16:], metaIncarnation)
	return xxhash.Sum64(b[:])
}

func memberBucket(id uuid.UUID) int { return int(xxhash.Sum64(id[:]) % memberBuckets) }

// shortHash returns a non-zero hash that identifies a suspector. A collision
// only means that a confirmation is not counted, which delays the timeout.
func shortHash(id uuid.UUID) uint32 { return uint32(xxhash.Sum64(id[:])>>48) | 1 }

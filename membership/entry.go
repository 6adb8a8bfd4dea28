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
	// metaInc is the incarnation of the metadata held. It may be lower than
	// Incarnation: a suspicion of a newer incarnation can arrive before its
	// metadata.
	metaInc uint64
	// descInc is the incarnation at which the metadata other than the target
	// state last changed.
	descInc uint64
	// digest covers ID and metaInc.
	digest uint64
	bucket int
	// index is the position in Node.present or Node.gone.
	index int
	// bucketIndex is the position in Node.buckets[bucket].
	bucketIndex int
	// changedAt is when State last changed.
	changedAt time.Time
	suspicion *suspicion
	rumor     rumor
}

func digestOf(id uuid.UUID, metaInc uint64) uint64 {
	var b [24]byte
	copy(b[:], id[:])
	binary.LittleEndian.PutUint64(b[16:], metaInc)
	return xxhash.Sum64(b[:])
}

func bucketOf(id uuid.UUID) int { return int(xxhash.Sum64(id[:]) % memberBuckets) }

// shortHash stands for an ID where a collision only delays a suspicion.
func shortHash(id uuid.UUID) uint32 { return uint32(xxhash.Sum64(id[:])>>48) | 1 }

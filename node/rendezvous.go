package node

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// rendezvousRank returns the zero-based rank of a member among the present
// members of a failure domain, ordered by a hash of their IDs, so that nodes
// agree on the first few without an election. An empty domain means all.
func rendezvousRank(members []membership.Member, self uuid.UUID, domain string) int {
	selfHash := xxhash.Sum64(self[:])
	rank := 0
	for i := range members {
		m := &members[i]
		if m.ID == self || !m.State.Present() || (domain != "" && m.Meta.FailureDomain != domain) {
			continue
		}
		if xxhash.Sum64(m.ID[:]) < selfHash {
			rank++
		}
	}
	return rank
}

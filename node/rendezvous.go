package node

import (
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// rendezvousRank returns the place of a member, from 0, among the present ones
// of a failure domain in the order of a hash of their IDs, so that nodes agree
// on a few of them without an election. An empty domain means all.
func rendezvousRank(members []membership.Member, self uuid.UUID, domain string) int {
	own := xxhash.Sum64(self[:])
	rank := 0
	for i := range members {
		m := &members[i]
		if m.ID == self || !m.State.Present() || (domain != "" && m.Meta.FailureDomain != domain) {
			continue
		}
		if xxhash.Sum64(m.ID[:]) < own {
			rank++
		}
	}
	return rank
}

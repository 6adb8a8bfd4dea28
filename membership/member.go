package membership

import (
	"net/netip"

	"github.com/google/uuid"
)

// Member is a node's view of one process of the cluster.
type Member struct {
	// ID identifies one process start; a restarted process has a new ID.
	ID uuid.UUID
	// Addr is the UDP address of the member's gossip socket.
	Addr netip.AddrPort
	// Incarnation orders updates about the member. Only the member itself
	// increases it.
	Incarnation uint64
	State       State
	Meta        Meta
}

package membership

import (
	"net/netip"

	"github.com/google/uuid"
)

// update is the checked form of wire.Update.
type update struct {
	id          uuid.UUID
	incarnation uint64
	state       State
	suspector   uint32
	// metaInc and descInc are 0 without metadata.
	metaInc, descInc uint64
	// full says that addr and all of meta are set, not only its target state.
	full bool
	addr netip.AddrPort
	meta Meta
}

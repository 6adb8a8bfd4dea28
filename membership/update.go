package membership

import (
	"net/netip"

	"github.com/google/uuid"
)

// update is the validated form of wire.Update.
type update struct {
	id          uuid.UUID
	incarnation uint64
	state       State
	suspector   uint32
	// metaIncarnation and descIncarnation are 0 if the update has no metadata.
	metaIncarnation, descIncarnation uint64
	// hasFullMeta is true if addr and all of meta are set, and not only
	// meta.TargetState.
	hasFullMeta bool
	addr        netip.AddrPort
	meta        Meta
}

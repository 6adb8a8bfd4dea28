package membership

import "net/netip"

// Event is an input of Node.Step: Tick, Datagram, LocalUpdate, Leave,
// SetConfigOffset, LocalBroadcast or AddSeeds.
type Event interface{ event() }

// Tick runs the timers that are due. An early Tick has no effect.
type Tick struct{}

// Datagram is a datagram received from the network. The node does not retain
// Bytes.
type Datagram struct {
	From  netip.AddrPort
	Bytes []byte
}

// LocalUpdate replaces the node's own metadata.
type LocalUpdate struct{ Meta Meta }

// Leave starts to announce the node's departure. The node answers probes until
// the LeaveComplete effect; after it, Step does nothing.
type Leave struct{}

// SetConfigOffset sets the configuration offset that the node sends in the
// header of its datagrams. Offsets that are not higher than the current one are
// ignored.
type SetConfigOffset struct{ Offset uint64 }

// LocalBroadcast sends an application message to all members. A message that
// exceeds the bounds of Broadcast is dropped and counted in
// Stats.MalformedBroadcasts.
type LocalBroadcast struct{ Broadcast Broadcast }

// AddSeeds adds addresses to join through that were discovered after the start,
// and pings some of them immediately.
type AddSeeds struct{ Addrs []netip.AddrPort }

func (Tick) event()            {}
func (Datagram) event()        {}
func (LocalUpdate) event()     {}
func (Leave) event()           {}
func (SetConfigOffset) event() {}
func (LocalBroadcast) event()  {}
func (AddSeeds) event()        {}

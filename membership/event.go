package membership

import "net/netip"

// Event is an input of Node.Step: Tick, Datagram, LocalUpdate, Leave,
// SetConfigOffset, LocalBroadcast or AddSeeds.
type Event interface{ event() }

// Tick lets the node run its timers. Ticks that come early do no harm.
type Tick struct{}

// Datagram is a datagram that arrived from the network. The node does not keep
// Bytes.
type Datagram struct {
	From  netip.AddrPort
	Bytes []byte
}

// LocalUpdate replaces the node's own metadata.
type LocalUpdate struct{ Meta Meta }

// Leave announces the node's departure. The node answers probes until the
// LeaveComplete effect and takes no further part afterwards.
type Leave struct{}

// SetConfigOffset sets the configuration offset in the node's own headers.
// Offsets that are not higher than the present one are ignored.
type SetConfigOffset struct{ Offset uint64 }

// LocalBroadcast sends an application message to all members. A message that
// breaks the bounds of Broadcast is dropped and counted in Stats.
type LocalBroadcast struct{ Broadcast Broadcast }

// AddSeeds adds addresses to join through, such as those found after the start,
// and tries some of them at once.
type AddSeeds struct{ Addrs []netip.AddrPort }

func (Tick) event()            {}
func (Datagram) event()        {}
func (LocalUpdate) event()     {}
func (Leave) event()           {}
func (SetConfigOffset) event() {}
func (LocalBroadcast) event()  {}
func (AddSeeds) event()        {}

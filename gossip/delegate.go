package gossip

import (
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Delegate receives what a Transport learns. Its methods are called one at a
// time and in order on a goroutine of their own. While one of them does not
// return, up to 1,024 changes wait; then the socket is no longer served, so
// they must return soon. They must not call Leave or Close, which wait for
// them. A method that calls UpdateMeta, SetConfigOffset or Broadcast must do so
// on another goroutine: these may wait for the queue that it serves.
type Delegate interface {
	// MemberChanged reports a new member or a change of a member's state or
	// metadata, also of this process itself.
	MemberChanged(membership.Member)
	// ConfigOffsetSeen reports a configuration offset above this process's own
	// and the peer address of a member that has it.
	ConfigOffsetSeen(peerAddr netip.AddrPort, offset uint64)
	// BroadcastReceived reports an application message of another member.
	BroadcastReceived(membership.Broadcast)
}

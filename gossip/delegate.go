package gossip

import (
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Delegate receives what a Transport learns. Its methods are called one at a
// time, in order, on one goroutine that also handles the socket: they must
// return soon and must not call Leave or Close. The other methods of Transport
// may be called.
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

package gossip

import (
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Delegate receives what a Transport learns. Its methods are called one at a
// time on a goroutine of their own. While one of them runs, later changes wait,
// and of several changes of one member only the latest is kept. The methods may
// call those of Transport, except Leave and Close, which wait for them.
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

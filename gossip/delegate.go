package gossip

import (
	"net/netip"

	"github.com/goldcrestsail/goldcrestsail/membership"
)

// Delegate receives the notifications of a Transport. Its methods are called one
// at a time from a dedicated goroutine. While one of them runs, further
// notifications are queued, and only the latest is kept for each member, for each
// broadcast and for the configuration offset. The methods may call those of
// Transport, except Leave and Close, which wait for that goroutine to end.
type Delegate interface {
	// MemberChanged reports a new member or a change of a member's state or
	// metadata. The member may be this process.
	MemberChanged(membership.Member)
	// ConfigOffsetSeen reports a configuration offset higher than that of this
	// process, and the peer address of a member that has it.
	ConfigOffsetSeen(peerAddr netip.AddrPort, offset uint64)
	// BroadcastReceived reports an application message from another member.
	BroadcastReceived(membership.Broadcast)
}

package membership

import "net/netip"

// Effect is an output of Node.Step: Send, MemberChanged, ConfigOffsetSeen,
// BroadcastReceived or LeaveComplete.
type Effect interface{ effect() }

// Send asks the caller to send a datagram to the gossip address To. Bytes is at
// most Config.MaxDatagramBytes long.
type Send struct {
	To    netip.AddrPort
	Bytes []byte
}

// MemberChanged reports a new member or a change of a member's state or
// metadata. It is also returned for the node itself.
type MemberChanged struct{ Member Member }

// ConfigOffsetSeen reports a configuration offset higher than the node's own
// and than every offset reported before.
type ConfigOffsetSeen struct {
	// PeerAddr is the peer address of the member that sent the offset.
	PeerAddr netip.AddrPort
	Offset   uint64
}

// BroadcastReceived reports an application message from another member, once
// per version.
type BroadcastReceived struct{ Broadcast Broadcast }

// LeaveComplete reports that the node has finished announcing its departure.
// The caller may close the socket.
type LeaveComplete struct{}

func (Send) effect()              {}
func (MemberChanged) effect()     {}
func (ConfigOffsetSeen) effect()  {}
func (BroadcastReceived) effect() {}
func (LeaveComplete) effect()     {}

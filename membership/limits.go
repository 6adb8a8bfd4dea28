package membership

import "time"

// Bounds on what a node publishes and accepts.
const (
	// MaxNameBytes bounds each name in Meta.
	MaxNameBytes = 64
	// MaxBroadcastIDBytes bounds Broadcast.ID.
	MaxBroadcastIDBytes = 64
	// MaxBroadcastPayloadBytes bounds Broadcast.Payload, so that a header and
	// one broadcast fit into a datagram.
	MaxBroadcastPayloadBytes = 512
	// MaxBroadcastLifetime bounds how far ahead Broadcast.Expiry may be.
	MaxBroadcastLifetime = 24 * time.Hour
	// MaxSlots bounds Meta.Slots.
	MaxSlots = 1 << 20
	// PacketOverheadBytes is the size of the IPv4 and UDP headers. It is counted
	// for each datagram, because the send rate limit applies to IP packets.
	PacketOverheadBytes = 28
)

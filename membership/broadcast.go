package membership

import "time"

// Broadcast is an application message that reaches every member once per
// version. Of two broadcasts with equal Kind and ID, the one with the later
// Expiry replaces the other; at equal Expiry the greater Payload does.
type Broadcast struct {
	// Kind is the namespace of ID, one per application. It must not be 0.
	Kind uint32
	// ID identifies the message within its kind. Its length is 1 to
	// MaxBroadcastIDBytes bytes.
	ID string
	// Payload is at most MaxBroadcastPayloadBytes long.
	Payload []byte
	// Expiry is when members discard the message, at most
	// MaxBroadcastLifetime ahead. It is truncated to milliseconds.
	Expiry time.Time
}

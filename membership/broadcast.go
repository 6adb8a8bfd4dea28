package membership

import "time"

// Broadcast is an application message that reaches every member once per
// version. Of two broadcasts with equal Kind and ID, the one with the later
// Expiry replaces the other; at equal Expiry the greater Payload does.
type Broadcast struct {
	// Kind separates applications; it is not 0.
	Kind uint32
	// ID identifies the message within its kind. It holds 1 to
	// MaxBroadcastIDBytes bytes.
	ID string
	// Payload holds at most MaxBroadcastPayloadBytes bytes.
	Payload []byte
	// Expiry is when members forget the message, at most
	// MaxBroadcastLifetime ahead. It is kept in whole milliseconds.
	Expiry time.Time
}

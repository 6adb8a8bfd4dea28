package gate

import "time"

// Config holds the bounds of a Gate.
type Config struct {
	// Slots is how many requests the target serves at once, MinLimit the floor
	// of the limit that is derived from it.
	Slots, MinLimit int
	// ColdStart is the time of the ramp after the target has started.
	ColdStart time.Duration
	// QueueTimeout bounds the time that a request waits.
	QueueTimeout time.Duration
}

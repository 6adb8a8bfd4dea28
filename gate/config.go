package gate

import "time"

// Config holds the settings of a Gate.
type Config struct {
	// Slots is the number of concurrent requests that the target serves, MinLimit
	// the lower bound on the adaptive limit, which never exceeds Slots.
	Slots, MinLimit int
	// ColdStart is the duration of the ramp from MinLimit to Slots after the
	// target has started.
	ColdStart time.Duration
	// QueueTimeout bounds the time that a request waits.
	QueueTimeout time.Duration
}

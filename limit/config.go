package limit

import "time"

// Config holds the settings of a Limiter. They come from the policy.
type Config struct {
	// Slots is the published number of requests that a target serves at once.
	Slots int
	// MinLimit is the floor, at least 1.
	MinLimit int
	// ColdStart is the time of the ramp from the floor to the slots after the
	// target has started; 0 omits the ramp.
	ColdStart time.Duration
}

func (c Config) withBounds() Config {
	c.Slots = max(c.Slots, 1)
	c.MinLimit = min(max(c.MinLimit, 1), c.Slots)
	return c
}

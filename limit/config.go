package limit

import "time"

// Config holds the settings of a Limiter, which come from the policy.
type Config struct {
	// Slots is the published number of concurrent requests that a target serves.
	Slots int
	// MinLimit is the lower bound on the limit, at least 1.
	MinLimit int
	// ColdStart is the duration of the ramp from MinLimit to Slots after the
	// target has started; 0 omits the ramp.
	ColdStart time.Duration
}

func (c Config) withBounds() Config {
	c.Slots = max(c.Slots, 1)
	c.MinLimit = min(max(c.MinLimit, 1), c.Slots)
	return c
}

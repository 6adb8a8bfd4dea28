package httpconn

import "time"

const (
	// idleMargin is how long before the end of its idle time a connection is no
	// longer used: the request must arrive before the target closes it.
	idleMargin = time.Second
	// DefaultMaxIdle is below the idle timeout of common servers.
	DefaultMaxIdle = 4 * time.Second
	// DefaultDialTimeout is long for a connection within one instance.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultMaxBodyBytes bounds a response.
	DefaultMaxBodyBytes = 64 << 20
)

// TargetConfig configures a Target. Zero durations and sizes take the defaults.
type TargetConfig struct {
	Names   HeaderNames
	Address string
	// MaxIdle is how long an idle connection is kept when the target does not
	// state a shorter time.
	MaxIdle      time.Duration
	DialTimeout  time.Duration
	MaxBodyBytes int
}

func (c TargetConfig) withDefaults() TargetConfig {
	c.MaxIdle = orDefault(c.MaxIdle, DefaultMaxIdle)
	c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
	c.MaxBodyBytes = orDefault(c.MaxBodyBytes, DefaultMaxBodyBytes)
	return c
}

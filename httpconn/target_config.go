package httpconn

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/internal/bytebudget"
)

const (
	// keepAliveMargin is subtracted from the keep-alive time that a target states:
	// a request must arrive before the target closes the connection.
	keepAliveMargin = time.Second
	// DefaultIdleTimeout is below the idle timeout of common servers.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultDialTimeout is generous, as the target is on the same instance.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultMaxBodyBytes bounds the body of a response.
	DefaultMaxBodyBytes = 64 << 20
	// DefaultMaxHeadBytes bounds the status line and header fields of a response.
	DefaultMaxHeadBytes = 32 << 10
)

// TargetConfig configures a Target. Zero durations and sizes select the defaults.
type TargetConfig struct {
	Names   HeaderNames
	Address string
	// IdleTimeout is how long an idle connection is kept when the target does not
	// state a shorter time.
	IdleTimeout  time.Duration
	DialTimeout  time.Duration
	MaxBodyBytes int
	// MaxHeadBytes bounds the status line and header fields of a response. The
	// client reads up to 4 KiB more before it notices.
	MaxHeadBytes int
	// BodyMemory bounds the bodies of all responses together; nil means unlimited.
	BodyMemory *bytebudget.Budget
}

func (c TargetConfig) withDefaults() TargetConfig {
	c.IdleTimeout = orDefault(c.IdleTimeout, DefaultIdleTimeout)
	c.DialTimeout = orDefault(c.DialTimeout, DefaultDialTimeout)
	c.MaxHeadBytes = orDefault(c.MaxHeadBytes, DefaultMaxHeadBytes)
	c.MaxBodyBytes = orDefault(c.MaxBodyBytes, DefaultMaxBodyBytes)
	return c
}

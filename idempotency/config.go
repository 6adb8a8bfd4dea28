package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Defaults of Config.
const (
	// DefaultWindow equals policy.DefaultClaimWindow.
	DefaultWindow = 10 * time.Minute
	// DefaultSkew tolerates clients with poorly synchronised clocks.
	DefaultSkew = time.Minute
	// DefaultMaxLogClockStep covers a leap second and a failover of the log
	// service between instances with synchronised clocks.
	DefaultMaxLogClockStep = 10 * time.Second
	// DefaultMaxResponseBytes keeps stored responses within the node's memory
	// budget of 64 MB.
	DefaultMaxResponseBytes = 8 << 20
	// DefaultMaxKeys keeps the keys in memory within the same budget;
	// docs/capacity-claims.md gives the bytes per key.
	DefaultMaxKeys = 100_000
	// DefaultRetryPause is the delay before a failed append is retried.
	DefaultRetryPause = 100 * time.Millisecond
)

// MaxWindow is the upper bound of Config.Window.
const MaxWindow = 24 * time.Hour

// Config holds the limits for one service. A Machine keeps its own copy.
type Config struct {
	// Window is how long a key prevents a second execution, in log time.
	Window time.Duration
	// Skew is how far the time of a key may be ahead of the log's clock.
	Skew time.Duration
	// MaxLogClockStep is how far the log's clock may step back among records
	// that a node did not read: no unread record has a time more than
	// MaxLogClockStep after that of the next record that the node reads.
	MaxLogClockStep time.Duration
	// MaxResponseBytes bounds the total size of the stored responses.
	MaxResponseBytes int
	// MaxKeys is the number of keys in memory at which new keys are refused:
	// claims in the index and keys handled by this process together. Requests
	// with a key that is in memory are still answered.
	MaxKeys int
	// RetryPause is the delay before a failed append is retried.
	RetryPause time.Duration
	// FirstOffset is the offset of the first record of a stream.
	FirstOffset uint64
}

// WithDefaults returns c with its zero fields set to their defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.Skew, DefaultSkew)
	setDefault(&c.MaxLogClockStep, DefaultMaxLogClockStep)
	setDefault(&c.MaxResponseBytes, DefaultMaxResponseBytes)
	setDefault(&c.MaxKeys, DefaultMaxKeys)
	setDefault(&c.RetryPause, DefaultRetryPause)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Validate returns all invalid fields of c. Window comes from the policy's
// ClaimWindow.
func (c Config) Validate() []kind.FieldError {
	var fieldErrors []kind.FieldError
	check := func(ok bool, field, value, allowed string) {
		if !ok {
			fieldErrors = append(fieldErrors, kind.FieldError{Field: field, Value: value, Allowed: allowed})
		}
	}
	check(c.Window >= time.Second && c.Window <= MaxWindow, "window", c.Window.String(), "1s to "+MaxWindow.String())
	check(c.Skew >= 0 && c.Skew <= c.Window, "skew", c.Skew.String(), "0 to the window")
	check(c.MaxLogClockStep >= 0 && c.MaxLogClockStep <= c.Window, "log_step", c.MaxLogClockStep.String(), "0 to the window")
	check(c.MaxResponseBytes >= 0, "max_response_bytes", "negative", "0 or more")
	check(c.MaxKeys >= 1, "max_keys", "below 1", "1 or more")
	check(c.RetryPause > 0, "retry_pause", c.RetryPause.String(), "more than 0")
	return fieldErrors
}

// RequiredRetention is how long the log must keep records for a process that
// starts to accept keys as soon as it has read the stream. With a shorter
// retention the process refuses keys for longer; nothing else changes.
func (c Config) RequiredRetention() time.Duration {
	return c.Window + c.Skew + 2*c.MaxLogClockStep + c.maxHeartbeatInterval()
}

// maxHeartbeatInterval is the longest time between two records of a stream that
// a running process uses.
func (c Config) maxHeartbeatInterval() time.Duration { return c.Window / 4 }

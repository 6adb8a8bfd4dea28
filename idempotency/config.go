package idempotency

import (
	"time"

	"github.com/goldcrestsail/goldcrestsail/kind"
)

// Defaults of Config.
const (
	// DefaultWindow equals policy.DefaultClaimWindow.
	DefaultWindow = 10 * time.Minute
	// DefaultSkew admits clients whose clocks are synchronised badly.
	DefaultSkew = time.Minute
	// DefaultLogStep covers a leap second and the failover of a log service
	// between instances with synchronised clocks.
	DefaultLogStep = 10 * time.Second
	// DefaultMaxResponseBytes keeps stored responses within the node's memory
	// budget of 64 MB.
	DefaultMaxResponseBytes = 8 << 20
	// DefaultMaxKeys keeps remembered keys within the same budget;
	// docs/capacity-claims.md gives the bytes per key.
	DefaultMaxKeys = 100_000
	// DefaultRetryPause is the pause before an append is repeated.
	DefaultRetryPause = 100 * time.Millisecond
)

// MaxWindow bounds Window.
const MaxWindow = 24 * time.Hour

// Config holds the bounds of one service. A Machine takes a copy.
type Config struct {
	// Window is how long a key is honoured, in log time.
	Window time.Duration
	// Skew is how far the time of a key may be ahead of the log's clock.
	Skew time.Duration
	// LogStep is how far the log's clock may step back unseen: no record that
	// a node has not read has a time more than LogStep after that of the next
	// record that it reads.
	LogStep time.Duration
	// MaxResponseBytes bounds the stored responses.
	MaxResponseBytes int
	// MaxKeys is the number of remembered keys above which new keys are
	// refused. Repeats of remembered keys are still answered.
	MaxKeys int
	// RetryPause is the pause before an append is repeated.
	RetryPause time.Duration
	// FirstOffset is the offset of the first record of a stream.
	FirstOffset uint64
}

// WithDefaults returns c with every zero field that has a default set.
func (c Config) WithDefaults() Config {
	setDefault(&c.Window, DefaultWindow)
	setDefault(&c.Skew, DefaultSkew)
	setDefault(&c.LogStep, DefaultLogStep)
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

// Validate returns every fault of c. Window is the ClaimWindow of the policy.
func (c Config) Validate() []kind.FieldError {
	var faults []kind.FieldError
	check := func(ok bool, field, value, allowed string) {
		if !ok {
			faults = append(faults, kind.FieldError{Field: field, Value: value, Allowed: allowed})
		}
	}
	check(c.Window >= time.Second && c.Window <= MaxWindow, "window", c.Window.String(), "1s to "+MaxWindow.String())
	check(c.Skew >= 0 && c.Skew <= c.Window, "skew", c.Skew.String(), "0 to the window")
	check(c.LogStep >= 0 && c.LogStep <= c.Window, "log_step", c.LogStep.String(), "0 to the window")
	check(c.MaxResponseBytes >= 0, "max_response_bytes", "negative", "0 or more")
	check(c.MaxKeys >= 1, "max_keys", "below 1", "1 or more")
	check(c.RetryPause > 0, "retry_pause", c.RetryPause.String(), "more than 0")
	return faults
}

// RequiredRetention is how long the log must keep records, so that a process
// that starts can judge keys as soon as it has read the stream. With a shorter
// retention it refuses keys for longer, and nothing else changes.
func (c Config) RequiredRetention() time.Duration {
	return c.Window + c.Skew + 2*c.LogStep + c.tickInterval()
}

// tickInterval is the longest time between two records of a stream that is in
// use by a running process.
func (c Config) tickInterval() time.Duration { return c.Window / 4 }

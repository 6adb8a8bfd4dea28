package admission

import "time"

// Defaults and constants of a Queue.
const (
	// DefaultMaxWaiting bounds memory. At 1,000 requests per second it holds the
	// arrivals of one second, more than can wait within the default queue timeout.
	DefaultMaxWaiting = 1024
	// DefaultQueueTimeout equals the default of the policy.
	DefaultQueueTimeout = 250 * time.Millisecond
	// StandingInterval is the time without an empty queue after which the queue
	// counts as standing. Source: the interval of CoDel (Nichols and Jacobson,
	// "Controlling Queue Delay", ACM Queue 2012) as used with adaptive LIFO (Maurer,
	// "Fail at Scale", ACM Queue 2015).
	StandingInterval = 100 * time.Millisecond
)

// Config holds the settings of a Queue. Zero fields take the defaults.
type Config struct {
	// MaxWaiting bounds the number of waiting requests.
	MaxWaiting int
	// QueueTimeout bounds the time that a request waits.
	QueueTimeout time.Duration
}

func (c Config) withDefaults() Config {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = DefaultMaxWaiting
	}
	if c.QueueTimeout <= 0 {
		c.QueueTimeout = DefaultQueueTimeout
	}
	return c
}

package logservice

import "time"

// GroupOptions configures a GroupAppender. Zero fields get defaults.
type GroupOptions struct {
	// Delay is how long the first append of a group waits for others, by
	// default DefaultGroupDelay.
	Delay time.Duration
	// MaxRecords bounds a group, by default DefaultGroupRecords. A full group
	// does not wait for Delay.
	MaxRecords int
	// MaxWaiting bounds the appends that wait, by default DefaultGroupWaiting.
	MaxWaiting int
	// MaxWait bounds how long an append waits while the log service refuses
	// appends for their rate, by default DefaultGroupWait.
	MaxWait time.Duration
	// Timeout bounds one request, by default DefaultTimeout.
	Timeout time.Duration
}

// Defaults of GroupOptions.
const (
	// DefaultGroupDelay is small beside the log service's own latency and lets
	// the appends of a few concurrent calls share a request.
	DefaultGroupDelay   = 3 * time.Millisecond
	DefaultGroupRecords = 128
	DefaultGroupWaiting = 2048
	DefaultGroupWait    = time.Second
)

// maxGroupDelay bounds the delay that grows while the rate is exceeded.
const maxGroupDelay = 100 * time.Millisecond

func (o *GroupOptions) setDefaults() {
	setDefault(&o.Delay, DefaultGroupDelay)
	setDefault(&o.MaxRecords, DefaultGroupRecords)
	setDefault(&o.MaxWaiting, DefaultGroupWaiting)
	setDefault(&o.MaxWait, DefaultGroupWait)
	setDefault(&o.Timeout, DefaultTimeout)
	o.MaxRecords = min(o.MaxRecords, MaxAppendRecords)
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

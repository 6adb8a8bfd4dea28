package logstore

import "time"

// Options configures a Store. Zero fields get defaults.
type Options struct {
	// Now is the clock of the log service, by default time.Now.
	Now func() time.Time
	// Retention is the age at which records expire, by default DefaultRetention.
	Retention time.Duration
	// AppendRate is the limit of append requests per second over all streams, by
	// default DefaultAppendRate.
	AppendRate float64
	// File is the path of a file that persists the records across restarts.
	// Only Open uses it.
	File string
}

// Default values of Options.
const (
	DefaultRetention  = 24 * time.Hour
	DefaultAppendRate = 400
)

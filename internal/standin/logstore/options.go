package logstore

import "time"

// Options configures a Store. Zero fields get defaults.
type Options struct {
	// Now is the clock of the log service, by default time.Now.
	Now func() time.Time
	// Retention is how long records are kept, by default DefaultRetention.
	Retention time.Duration
	// AppendRate is how many append requests per second all streams together
	// accept, by default DefaultAppendRate.
	AppendRate float64
	// File, if set, keeps the records, so that they outlive the process.
	File string
}

// Defaults of Options.
const (
	DefaultRetention  = 24 * time.Hour
	DefaultAppendRate = 400
)

package quarantine

import "time"

// Config configures a Table. A zero field takes the default given in parentheses.
type Config struct {
	// Reporter identifies this process among all reporters, such as a hash of
	// its ID. It has no default.
	Reporter uint64
	// MaxRecords bounds the number of fingerprints with a record (1,024).
	MaxRecords int
	// SuspectTTL is how long a fingerprint stays suspect after the last entry
	// about it (10 min).
	SuspectTTL time.Duration
	// QuarantineTTL is how long a fingerprint stays quarantined after the last
	// entry about it (1 h). It should be at least SuspectTTL.
	QuarantineTTL time.Duration
	// TrialTimeout ends a trial whose end was never reported, so that another
	// suspect can run (1 min).
	TrialTimeout time.Duration
	// CompletionDelay is how long completions are batched before they are
	// published (500 ms).
	CompletionDelay time.Duration
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithDefaults returns c with zero fields replaced by their defaults.
func (c Config) WithDefaults() Config {
	setDefault(&c.MaxRecords, 1024)
	setDefault(&c.SuspectTTL, 10*time.Minute)
	setDefault(&c.QuarantineTTL, time.Hour)
	setDefault(&c.TrialTimeout, time.Minute)
	setDefault(&c.CompletionDelay, 500*time.Millisecond)
	return c
}

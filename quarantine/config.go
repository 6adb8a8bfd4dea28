package quarantine

import "time"

// Config configures a Table. Zero fields take the default given beside them.
type Config struct {
	// Reporter identifies the process among all reporters, such as a hash of
	// its ID. It has no default.
	Reporter uint64
	// MaxEntries bounds the fingerprints kept (1,024).
	MaxEntries int
	// SuspectLife is how long a suspicion lasts without further news (10 min).
	SuspectLife time.Duration
	// QuarantineLife is how long a quarantine lasts (1 h). It should be at
	// least SuspectLife.
	QuarantineLife time.Duration
	// TrialTimeout frees the place of a trial whose end was never reported
	// (1 min).
	TrialTimeout time.Duration
	// CompletionDelay is how long completions are collected before they are
	// published together (500 ms).
	CompletionDelay time.Duration
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// WithDefaults returns c with the defaults filled in.
func (c Config) WithDefaults() Config {
	setDefault(&c.MaxEntries, 1024)
	setDefault(&c.SuspectLife, 10*time.Minute)
	setDefault(&c.QuarantineLife, time.Hour)
	setDefault(&c.TrialTimeout, time.Minute)
	setDefault(&c.CompletionDelay, 500*time.Millisecond)
	return c
}
